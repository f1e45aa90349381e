#pragma once

// g++ 12 needs <utility> before the header of awaitable, which does not include it itself.
#include <utility>
//
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace waxwingwing {

namespace asio = boost::asio;
using boost::system::error_code;

template <typename value_type>
using awaitable = asio::awaitable<value_type>;

/// Completion token that suspends the coroutine and stores the error instead of throwing it.
inline auto StoreError(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace waxwingwing
