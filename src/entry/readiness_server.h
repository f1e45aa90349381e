#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// HTTP server for the load balancer's readiness checks and for the metrics at `/metrics`.
///
/// Requests need no body here: one that has a body is refused with 413 and its connection closed,
/// before the body is read. What a connection may hold is bounded by the size of a head and of one
/// answer, and their number by `max_connections`.
class readiness_server {
 public:
  readiness_server(asio::io_context& context, const metrics_registry& metrics,
                   std::function<bool()> is_ready, std::size_t max_connections);

  /// Listens on `ip:port` and returns the bound address; fails with the operating system's error
  /// message.
  result<std::string> Start(const std::string& address);

 private:
  struct connection;
  using connection_list = std::list<std::shared_ptr<connection>>;

  awaitable<void> Accept();
  awaitable<void> Serve(std::shared_ptr<connection> served);
  awaitable<void> Answer(connection& served);
  /// Closes the connection that has waited for its caller for the longest time.
  void CloseLongestWaiting();

  asio::io_context& context_;
  const metrics_registry& metrics_;
  const std::function<bool()> is_ready_;
  const std::size_t max_connections_;
  asio::ip::tcp::acceptor acceptor_;
  /// Open connections, in the order in which their last answer, or their start, was.
  connection_list connections_;
};

}  // namespace waxwingwing
