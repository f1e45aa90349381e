#pragma once

#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/io_context.hpp>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Suspends the calling coroutine for `time`. `io` is the context that the coroutine runs on.
boost::asio::awaitable<void> SleepFor(boost::asio::io_context& io, milliseconds time);

}  // namespace waxwingwing
