#include "stand_ins/http_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <exception>

namespace waxwingwing::stand_ins {
namespace {

// Larger than any configuration snapshot that the tests write to the log.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} << 20U;

}  // namespace

http_server::http_server(asio::io_context& context, const std::string& address, handler on_request)
    : context_(context),
      acceptor_(context, ParseEndpoint(address)),
      on_request_(std::move(on_request)) {
  asio::co_spawn(context_, Accept(), asio::detached);
}

awaitable<void> http_server::Accept() {
  for (;;) {
    error_code error;
    tcp::socket socket =
        co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // The process may be out of file descriptors, for example; the next attempt may succeed.
      co_await Sleep(milliseconds(10));
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

awaitable<void> http_server::Serve(tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  std::string late_bytes;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    error_code error;
    co_await http::async_read(socket, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    http_exchange exchange(socket, parser.release(), late_bytes);
    co_await ServeOne(exchange);
    if (!socket.is_open() || !exchange.request().keep_alive()) co_return;
  }
}

awaitable<void> http_server::ServeOne(http_exchange& exchange) {
  json problem;
  try {
    co_await on_request_(exchange);
  } catch (const std::exception& failure) {
    problem = {{"error", failure.what()}};
  }
  if (problem.is_null()) co_return;
  if (exchange.answered()) {
    exchange.Close();
    co_return;
  }
  co_await exchange.Answer(400, problem);
}

}  // namespace waxwingwing::stand_ins
