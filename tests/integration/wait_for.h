#pragma once

#include <functional>

#include "waxwingwing/core/units.h"

namespace waxwingwing::integration {

/// Calls `condition` until it is true; false when it is still not true after `bound`.
bool WaitFor(const std::function<bool()>& condition, milliseconds bound);

/// `CLOCK_MONOTONIC` in microseconds, as in the stand-ins' records.
std::int64_t MonotonicMicros();

}  // namespace waxwingwing::integration
