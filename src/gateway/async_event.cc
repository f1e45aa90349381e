#include "gateway/async_event.h"

namespace waxwingwing {

void async_event::Notify() {
  notified_ = true;
  timer_.cancel();
}

awaitable<bool> async_event::WaitUntil(time_point deadline) {
  if (!notified_) {
    timer_.expires_at(deadline);
    error_code ignored;
    co_await timer_.async_wait(StoreError(ignored));
  }
  const bool notified = notified_;
  notified_ = false;
  co_return notified;
}

}  // namespace waxwingwing
