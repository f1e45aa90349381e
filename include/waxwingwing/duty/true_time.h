#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Time since the start of 1970, of which the VM's time of day is an observation that may step.
///
/// The time is that of the steady clock plus the median of the offsets observed in the last
/// minutes, so that a step which is undone within half of that time has no effect. A VM whose time
/// of day is wrong from its start, or for longer, has a wrong time here, too. Use from one thread.
class true_time {
 public:
  /// Records what the time of day is at `now`; call at regular intervals.
  void Observe(time_point now, milliseconds time_of_day);
  /// Empty before the first observation.
  std::optional<milliseconds> At(time_point now) const;

 private:
  static constexpr std::size_t kObservations = 121;

  std::deque<milliseconds> offsets_;
  milliseconds median_{0};
};

}  // namespace waxwingwing
