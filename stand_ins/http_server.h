#pragma once

#include <functional>
#include <string>

#include "stand_ins/asio.h"
#include "stand_ins/http_exchange.h"

namespace waxwingwing::stand_ins {

/// Accepts HTTP/1.1 connections and passes each request to a handler. Runs on the thread of its
/// `io_context`, so handlers need no locks.
///
/// An exception from a handler is answered with status 400, or closes the connection when a
/// response was already started.
class http_server {
 public:
  using handler = std::function<awaitable<void>(http_exchange&)>;

  /// Listens on `address` (`ip:port`); throws when that fails.
  http_server(asio::io_context& context, const std::string& address, handler on_request);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::string address() const { return ToAddress(acceptor_.local_endpoint()); }

 private:
  awaitable<void> Accept();
  awaitable<void> Serve(tcp::socket socket);
  awaitable<void> ServeOne(http_exchange& exchange);

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  handler on_request_;
};

}  // namespace waxwingwing::stand_ins
