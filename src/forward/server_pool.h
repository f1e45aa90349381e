#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/forward/forward_options.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// A connection to a backend server.
struct server_connection {
  explicit server_connection(const asio::any_io_executor& executor) : socket(executor) {}

  asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  /// Whether a request was sent on it before.
  bool reused = false;
  /// Until when it may be reused.
  time_point usable_until{};
};

/// Idle connections to backend servers, by address; the newest is reused first.
class server_pool {
 public:
  explicit server_pool(const forward_options& options) : options_(options) {}

  /// An idle connection that is still open; null when there is none.
  std::unique_ptr<server_connection> Take(const std::string& address, time_point now);
  /// Keeps a connection on which an answer was read to its end.
  void Keep(const std::string& address, std::unique_ptr<server_connection> connection,
            std::optional<milliseconds> idle_limit, time_point now);
  /// Closes idle connections to an address whose server does not answer.
  void Drop(const std::string& address) { idle_.erase(address); }
  void CloseExpired(time_point now);

 private:
  const forward_options& options_;
  std::map<std::string, std::deque<std::unique_ptr<server_connection>>> idle_;
};

}  // namespace waxwingwing
