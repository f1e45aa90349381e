#pragma once

#include "waxwingwing/platform/pause.h"

namespace waxwingwing {

/// Suspends a coroutine for a given time or until `Wake` is called. A call of `Wake` before `Wait`
/// makes the next wait return at once.
class wakeable_pause {
 public:
  explicit wakeable_pause(asio::io_context& context) : timer_(context) {}

  awaitable<void> Wait(duration time) {
    if (woken_) {
      woken_ = false;
      co_return;
    }
    timer_.expires_after(time);
    error_code ignored;
    co_await timer_.async_wait(StoreError(ignored));
    woken_ = false;
  }

  void Wake() {
    woken_ = true;
    timer_.cancel();
  }

 private:
  asio::steady_timer timer_;
  bool woken_ = false;
};

}  // namespace waxwingwing
