#pragma once

#include "waxwingwing/core/clock.h"
#include "waxwingwing/platform/coroutine.h"
//
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace waxwingwing {

/// Suspends the coroutine for `time`.
inline awaitable<void> Pause(asio::io_context& context, duration time) {
  asio::steady_timer timer(context, time);
  error_code ignored;
  co_await timer.async_wait(StoreError(ignored));
}

}  // namespace waxwingwing
