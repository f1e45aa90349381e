#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// Kinds of orders that the controller sends to backend servers while it forms groups.
enum class formation_action {
  /// Become a member of a group.
  kJoin,
  /// Let the head of a group accept requests.
  kOpen,
  /// Let the head of a group finish its running requests and accept no new ones.
  kClose,
  /// Leave a group immediately.
  kLeave,
  /// Load a model's weights onto the host.
  kStage,
  /// Not an order: queries the current state of a server.
  kProbe,
};

/// An instruction to one backend server. Orders are idempotent and may be sent repeatedly.
struct formation_order {
  formation_action action = formation_action::kProbe;
  backend_server_id target;
  /// `ip:port` of the target.
  std::string address;
  server_group_id group;
  std::uint64_t epoch = 0;
  std::string model;
  /// Members of the group, ordered by rank; only set for `kJoin`.
  std::vector<backend_server_id> members;
};

/// Result of an order or a probe.
enum class order_outcome {
  kAccepted,
  /// The server's state does not allow it.
  kConflict,
  /// The server has seen a higher epoch.
  kOutdated,
  /// Another server listens at the address.
  kWrongServer,
  /// The server answered with any other error.
  kRejected,
  /// Nothing listens at the address.
  kUnreachable,
  /// Time-out: the order may have been executed already or may be executed later.
  kNoAnswer,
};

const char* NameOf(formation_action action);
const char* NameOf(order_outcome outcome);

}  // namespace waxwingwing
