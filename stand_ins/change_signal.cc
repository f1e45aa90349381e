#include "stand_ins/change_signal.h"

#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing::stand_ins {

awaitable<void> change_signal::Wait(time_point deadline) {
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  timer.expires_at(deadline);
  waiting_.insert(&timer);
  const scope_guard remove([&] { waiting_.erase(&timer); });
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void change_signal::Notify() {
  for (asio::steady_timer* timer : waiting_) timer->cancel();
}

}  // namespace waxwingwing::stand_ins
