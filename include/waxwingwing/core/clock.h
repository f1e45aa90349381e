#pragma once

#include <atomic>
#include <chrono>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A point on the monotonic clock of this process; not comparable between VMs.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Source of monotonic time. Code that makes decisions takes `now` as an argument; only the code
/// that calls it holds a clock.
class runtime_clock {
 public:
  virtual ~runtime_clock() = default;
  virtual time_point Now() const = 0;
};

/// The machine's monotonic clock.
class steady_runtime_clock final : public runtime_clock {
 public:
  time_point Now() const override { return std::chrono::steady_clock::now(); }
};

/// Clock for tests, whose time changes only when it is advanced. Thread-safe.
class manual_clock final : public runtime_clock {
 public:
  manual_clock() = default;
  manual_clock(const manual_clock&) = delete;
  manual_clock& operator=(const manual_clock&) = delete;

  time_point Now() const override { return time_point(duration(elapsed_.load())); }
  void Advance(duration step) { elapsed_.fetch_add(step.count()); }

 private:
  // Starts at one hour, so that subtracting a time-out does not result in a negative time.
  std::atomic<duration::rep> elapsed_{duration(std::chrono::hours(1)).count()};
};

}  // namespace waxwingwing
