#pragma once

#include <ctime>

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// Time since the machine started, counting the time for which it was suspended: a belief must not
/// look younger after a suspension.
class boot_clock final : public runtime_clock {
 public:
  time_point Now() const override {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

}  // namespace waxwingwing
