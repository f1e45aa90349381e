#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

enum class formation_action {
  /// Become a member of a group.
  kJoin,
  /// Let a group's head take requests.
  kOpen,
  /// Let a group's head finish its requests and take no more.
  kClose,
  /// Leave a group at once.
  kLeave,
  /// Load a model's weights onto the host.
  kStage,
  /// Not an order: asks a server for its present state.
  kProbe,
};

/// An instruction to one backend server. May be repeated without further effect.
struct formation_order {
  formation_action action = formation_action::kProbe;
  backend_server_id target;
  /// `ip:port` of the target.
  std::string address;
  server_group_id group;
  std::uint64_t epoch = 0;
  std::string model;
  /// By rank; only for `kJoin`.
  std::vector<backend_server_id> members;
};

/// What became of an order or a probe.
enum class order_outcome {
  kAccepted,
  /// The server's state does not allow it.
  kConflict,
  /// The server has seen a higher epoch.
  kOutdated,
  /// Another server has the address.
  kWrongServer,
  /// The server answered with something else.
  kRejected,
  /// Nothing listens at the address.
  kUnreachable,
  /// The order may have been carried out or may be later.
  kNoAnswer,
};

const char* NameOf(formation_action action);
const char* NameOf(order_outcome outcome);

}  // namespace waxwingwing
