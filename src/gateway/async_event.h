#pragma once

#include <boost/asio/steady_timer.hpp>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Lets one coroutine wait until another one of the same thread notifies it.
///
/// A notification that comes before the wait is kept, so none is lost.
class async_event {
 public:
  explicit async_event(const asio::any_io_executor& executor) : timer_(executor) {}

  void Notify();
  /// True when notified, false when the deadline passed.
  awaitable<bool> WaitUntil(time_point deadline);

 private:
  asio::steady_timer timer_;
  bool notified_ = false;
};

}  // namespace waxwingwing
