#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "waxwingwing/core/result.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// HTTP server for the load balancer's readiness checks and for the metrics at `/metrics`.
class readiness_server {
 public:
  readiness_server(asio::io_context& context, const metrics_registry& metrics,
                   std::function<bool()> is_ready);

  /// Listens on `ip:port` and returns the bound address; fails with the operating system's error
  /// message.
  result<std::string> Start(const std::string& address);

 private:
  awaitable<void> Accept();
  awaitable<void> Serve(asio::ip::tcp::socket socket);

  asio::io_context& context_;
  const metrics_registry& metrics_;
  const std::function<bool()> is_ready_;
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace waxwingwing
