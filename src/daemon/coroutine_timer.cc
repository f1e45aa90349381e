#include "daemon/coroutine_timer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace waxwingwing {

boost::asio::awaitable<void> SleepFor(boost::asio::io_context& io, milliseconds time) {
  boost::asio::steady_timer timer(io, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace waxwingwing
