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
/// Name of a group of backend servers that hold one copy of a model together.
using server_group_id = strong_id<struct server_group_id_tag>;

enum class membership_state { kJoining, kReady, kOpen, kClosing, kBroken };

/// A backend server's place in a group, as it reports it.
struct group_membership {
  server_group_id group;
  std::uint64_t epoch = 0;
  /// 0 is the head, which takes the group's requests.
  std::uint32_t rank = 0;
  membership_state state = membership_state::kJoining;

  bool operator==(const group_membership&) const = default;
};

/// What a backend server registered about itself.
struct backend_server {
  backend_server_id id;
  service_id service;
  /// `ip:port`.
  std::string address;
  failure_domain_id failure_domain;
  fabric_domain_id fabric;
  /// Unix time in milliseconds at which this life of the server began.
  std::uint64_t born = 0;
  /// Counts the registrations of one life.
  std::uint64_t revision = 0;
  /// Requests it runs at a time.
  std::uint32_t slots = 1;
  bool draining = false;
  /// How long the server stays cold, as of the registration.
  milliseconds cold_left{0};
  /// Model of its current or last group; empty when it had none in this life.
  std::string model;
  /// Models whose weights are on its host.
  std::vector<std::string> staged;
  std::optional<group_membership> membership;
};

}  // namespace waxwingwing
