#pragma once

#include <boost/asio/steady_timer.hpp>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Auto-reset event: one coroutine waits until another one on the same thread notifies it.
///
/// A notification that arrives before the wait is kept and ends the next wait at once.
class async_event {
 public:
  explicit async_event(const asio::any_io_executor& executor) : timer_(executor) {}

  void Notify();
  /// Returns true when notified, false when the deadline has passed.
  awaitable<bool> WaitUntil(time_point deadline);

 private:
  asio::steady_timer timer_;
  bool notified_ = false;
};

}  // namespace waxwingwing
