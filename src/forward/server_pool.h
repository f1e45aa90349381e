#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "forward/refused_requests.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/forward/forward_options.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// A TCP connection to a backend server and the bytes read from it in advance.
struct server_connection {
  /// Maximum number of bytes that are read in advance. Larger than the limit for a response's head;
  /// a chunk's size line and the trailer, for which the parser has no limit, must fit as well.
  static constexpr std::size_t kMaxBufferBytes = std::size_t{64} * 1024;

  explicit server_connection(const asio::any_io_executor& executor)
      : socket(executor), buffer(kMaxBufferBytes) {}

  /// Whether the idle connection is open and has no unsolicited bytes from the server to read.
  bool IsOpenAndQuiet() { return Peek() == asio::error::would_block; }
  /// Looks for bytes to read without taking them; `would_block` while the connection is open and
  /// there are none, otherwise how it has ended.
  error_code Peek();

  asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  /// Whether a request was sent on this connection before.
  bool reused = false;
  refused_requests refused;
  /// Time until which the idle connection may be reused.
  time_point usable_until{};
};

/// Pool of idle connections to backend servers, by address. The most recently returned connection
/// is reused first.
class server_pool {
 public:
  explicit server_pool(const forward_options& options) : options_(options) {}

  /// Takes an idle connection that is still open out of the pool; null when there is none. Skips
  /// those on which the server has refused `request` before: only on others does the id in an
  /// answer show that it belongs to the request's next attempt.
  std::unique_ptr<server_connection> Take(const std::string& address, const request_id& request,
                                          time_point now);
  /// Returns a connection to the pool after a response was read completely; closes one that cannot
  /// remember further refusals. `idle_limit` is the server's own limit, if it states one.
  void Keep(const std::string& address, std::unique_ptr<server_connection> connection,
            std::optional<milliseconds> idle_limit, time_point now);
  /// Closes all idle connections to the address of an unreachable server.
  void Drop(const std::string& address) { idle_.erase(address); }
  /// Closes the idle connections that may no longer be reused.
  void CloseExpired(time_point now);

 private:
  const forward_options& options_;
  std::map<std::string, std::deque<std::unique_ptr<server_connection>>> idle_;
};

}  // namespace waxwingwing
