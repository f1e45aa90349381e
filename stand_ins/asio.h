#pragma once

// Boost 1.74 uses std::exchange in awaitable.hpp without including <utility>.
// clang-format off
#include <utility>
#include <boost/asio/awaitable.hpp>
// clang-format on

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "waxwingwing/core/clock.h"

namespace waxwingwing::stand_ins {

namespace asio = boost::asio;
using asio::awaitable;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Returns the event loop of the process. Used in place of `this_coro::executor`, which the static
/// analyser reports as a use of an uninitialised pointer in Boost 1.74.
asio::io_context& EventLoop();

/// Parses `ip:port`; throws std::invalid_argument when it is malformed.
tcp::endpoint ParseEndpoint(const std::string& address);
/// Formats an endpoint as `ip:port`.
std::string ToAddress(const tcp::endpoint& endpoint);

/// Suspends the calling coroutine for this time.
awaitable<void> Sleep(duration time);

}  // namespace waxwingwing::stand_ins
