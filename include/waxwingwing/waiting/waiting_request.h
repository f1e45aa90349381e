#pragma once

#include <cstdint>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// A request that waits for a place at a server of its service and model.
struct waiting_request {
  organisation_id organisation;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  time_point arrived;
  /// Latest start with which the answer is still within the latency objective.
  time_point start_in_time;
  /// Latest start that is of any use: the caller still waits when the answer begins.
  time_point last_start;

  bool IsLate(time_point now) const { return now > start_in_time; }
};

}  // namespace waxwingwing
