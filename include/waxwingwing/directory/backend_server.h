#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

using backend_server_id = strong_id<struct backend_server_id_tag>;
/// Name of a group of backend servers that hold one replica of a model together.
using server_group_id = strong_id<struct server_group_id_tag>;

/// State of a server's membership in a group, as the server reports it.
enum class membership_state { kJoining, kReady, kOpen, kClosing, kBroken };

/// A backend server's membership in a group, as the server reports it.
struct group_membership {
  server_group_id group;
  std::uint64_t epoch = 0;
  /// Rank in the group; rank 0 is the head, which accepts the group's requests.
  std::uint32_t rank = 0;
  membership_state state = membership_state::kJoining;

  bool operator==(const group_membership&) const = default;
};

/// A backend server's registration.
struct backend_server {
  backend_server_id id;
  service_id service;
  /// `ip:port`.
  std::string address;
  failure_domain_id failure_domain;
  fabric_domain_id fabric;
  /// Unix time in milliseconds at which this incarnation of the server started.
  std::uint64_t born = 0;
  /// Number of the registration within one incarnation.
  std::uint64_t revision = 0;
  /// Number of requests that the server runs concurrently.
  std::uint32_t slots = 1;
  bool draining = false;
  /// Remaining time for which the server is cold, as of the registration.
  milliseconds cold_left{0};
  /// Model of the server's current or last group; empty when it had none in this incarnation.
  std::string model;
  /// Models whose weights are staged on the server's host.
  std::vector<std::string> staged;
  std::optional<group_membership> membership;
};

}  // namespace waxwingwing
