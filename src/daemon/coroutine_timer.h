#pragma once

#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Suspends the calling coroutine for `time`.
boost::asio::awaitable<void> SleepFor(milliseconds time);

}  // namespace waxwingwing
