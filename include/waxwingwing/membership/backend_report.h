#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

enum class backend_state { kIdle, kLoading, kReady };

/// The replica membership that a backend server reports.
struct backend_assignment {
  replica_id replica;
  model_group_id model_group;
  waxwingwing::generation generation;
  std::uint32_t rank = 0;
  std::vector<vm_id> members;

  bool operator==(const backend_assignment&) const = default;
};

/// The answer of a backend server to a status poll, with the time of the poll.
struct backend_report {
  vm_id vm;
  failure_domain_id failure_domain;
  waxwingwing::incarnation incarnation;
  /// Number of status answers that the backend server has given since it started (uptime in
  /// milliseconds where it gives no count); orders reports of the same incarnation.
  std::uint64_t sequence = 0;
  /// Backend uptime at the time of the answer.
  milliseconds uptime{0};
  /// Time since the backend server last became ready; its request limit rises with this time.
  milliseconds ready_for{0};
  backend_state state = backend_state::kIdle;
  bool checks_fencing = false;
  fencing_number fencing;
  std::optional<backend_assignment> assignment;
  /// The load fields lag behind the backend server.
  request_count running;
  token_count kv_tokens_used;
  token_count kv_tokens_limit;
  /// Generation time for one token; used to recognise stragglers.
  double ms_per_token = 0;
  /// When the poll that gave this report was sent, on the local clock; relays subtract the age.
  time_point taken_at{};

  bool operator==(const backend_report&) const = default;
};

}  // namespace waxwingwing
