#include "entry/readiness_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "waxwingwing/platform/ip_endpoint.h"

namespace waxwingwing {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr int kBacklog = 64;
constexpr std::chrono::seconds kIdleTimeout{15};
constexpr std::string_view kMetricsPath = "/metrics";

}  // namespace

readiness_server::readiness_server(asio::io_context& context, const metrics_registry& metrics,
                                   std::function<bool()> is_ready)
    : context_(context), metrics_(metrics), is_ready_(std::move(is_ready)), acceptor_(context) {}

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
    if (!error) asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

awaitable<void> readiness_server::Serve(tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  error_code error;
  for (;;) {
    http::request<http::string_body> request;
    stream.expires_after(kIdleTimeout);
    co_await http::async_read(stream, buffer, request, StoreError(error));
    if (error) co_return;
    http::response<http::string_body> response;
    response.version(11);
    if (request.target() == kMetricsPath) {
      response.set(http::field::content_type, "text/plain; version=0.0.4");
      response.body() = metrics_.ToText();
    } else {
      response.result(is_ready_() ? http::status::ok : http::status::service_unavailable);
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    co_await http::async_write(stream, response, StoreError(error));
    if (error || !request.keep_alive()) co_return;
  }
}

}  // namespace waxwingwing
