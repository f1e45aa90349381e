#include "entry/readiness_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "waxwingwing/core/scope_guard.h"
#include "waxwingwing/platform/ip_endpoint.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr int kBacklog = 64;
constexpr std::chrono::seconds kIdleTimeout{15};
/// Keeps a process that has run out of descriptors from accepting in a busy loop.
constexpr milliseconds kAcceptRetryDelay{100};
constexpr std::uint32_t kMaxHeadBytes = 8192;
constexpr std::string_view kMetricsPath = "/metrics";

}  // namespace

struct readiness_server::connection {
  explicit connection(tcp::socket socket) : stream(std::move(socket)), buffer(kMaxHeadBytes) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

readiness_server::readiness_server(asio::io_context& context, const metrics_registry& metrics,
                                   std::function<bool()> is_ready, std::size_t max_connections)
    : context_(context),
      metrics_(metrics),
      is_ready_(std::move(is_ready)),
      max_connections_(max_connections),
      acceptor_(context) {}

result<std::string> readiness_server::Start(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint) return result<std::string>::Failure(endpoint.reason());
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (error) return result<std::string>::Failure(address + ": " + error.message());
  asio::co_spawn(context_, Accept(), asio::detached);
  const tcp::endpoint bound = acceptor_.local_endpoint(error);
  return bound.address().to_string() + ":" + std::to_string(bound.port());
}

awaitable<void> readiness_server::Accept() {
  while (acceptor_.is_open()) {
    tcp::socket socket(context_);
    error_code error;
    co_await acceptor_.async_accept(socket, StoreError(error));
    if (error) {
      co_await Pause(context_, kAcceptRetryDelay);
      continue;
    }
    if (connections_.size() >= max_connections_) CloseLongestWaiting();
    auto accepted = std::make_shared<connection>(std::move(socket));
    asio::co_spawn(context_, Serve(std::move(accepted)), asio::detached);
  }
}

void readiness_server::CloseLongestWaiting() {
  connections_.front()->stream.close();
  connections_.pop_front();
}

awaitable<void> readiness_server::Serve(std::shared_ptr<connection> served) {
  connections_.push_back(served);
  const scope_guard remove([&] { connections_.remove(served); });
  while (served->stream.socket().is_open()) {
    co_await Answer(*served);
    const auto place = std::find(connections_.begin(), connections_.end(), served);
    if (place == connections_.end()) co_return;
    connections_.splice(connections_.end(), connections_, place);
  }
}

awaitable<void> readiness_server::Answer(connection& served) {
  error_code error;
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxHeadBytes);
  served.stream.expires_after(kIdleTimeout);
  co_await http::async_read_header(served.stream, served.buffer, parser, StoreError(error));
  if (error) co_return served.stream.close();
  const auto& request = parser.get();
  const bool has_body = parser.chunked() || parser.content_length().value_or(0) > 0;
  http::response<http::string_body> response;
  response.version(11);
  if (has_body) {
    response.result(http::status::payload_too_large);
  } else if (request.target() == kMetricsPath) {
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = metrics_.ToText();
  } else {
    response.result(is_ready_() ? http::status::ok : http::status::service_unavailable);
  }
  const bool stays_open = request.keep_alive() && !has_body;
  response.keep_alive(stays_open);
  response.prepare_payload();
  served.stream.expires_after(kIdleTimeout);
  co_await http::async_write(served.stream, response, StoreError(error));
  if (error || !stays_open) served.stream.close();
}

}  // namespace waxwingwing
