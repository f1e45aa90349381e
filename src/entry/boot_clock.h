#pragma once

#include <ctime>

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// Clock that counts from boot and includes time spent suspended, so that cached state is not taken
/// for newer than it is after a suspension.
class boot_clock final : public runtime_clock {
 public:
  time_point Now() const override {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

}  // namespace waxwingwing
