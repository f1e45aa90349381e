#include "gateway/backend_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "gateway/backend_connection.h"
#include "waxwingwing/platform/response_reader.h"

namespace waxwingwing {
namespace {

/// Maximum size of the body of a status report, in bytes.
constexpr std::uint64_t kMaxAnswerBodyBytes = std::uint64_t{1} << 20U;

template <typename number>
std::optional<number> ParseNumber(std::string_view text) {
  number value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// One HTTP call over a new connection. The probe time-out applies to connecting and, once more, to
/// the exchange.
struct single_http_call {
  explicit single_http_call(const asio::any_io_executor& executor) : connection(executor) {}

  backend_connection connection;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

awaitable<error_code> Run(single_http_call& call, const gateway_settings& settings,
                          const std::string& address) {
  beast::tcp_stream& stream = call.connection.stream();
  error_code error =
      co_await call.connection.Connect(address, settings.socket_buffer, settings.probe_timeout);
  if (error) co_return error;
  call.request.version(11);
  call.request.set(http::field::host, address);
  call.request.keep_alive(false);
  call.request.prepare_payload();
  stream.expires_after(settings.probe_timeout);
  co_await http::async_write(stream, call.request, StoreError(error));
  if (error) co_return error;
  std::optional<http::response_parser<http::string_body>> parser;
  const response_limits limits{kMaxAnswerHeadBytes, kMaxAnswerBodyBytes};
  const head_result head =
      co_await ReadResponseHead(stream, call.connection.buffer(), parser, limits);
  if (head.error) co_return head.error;
  co_await http::async_read(stream, call.connection.buffer(), *parser, StoreError(error));
  if (!error) call.response = parser->release();
  co_return error;
}

awaitable<void> SendCancel(asio::any_io_executor executor, const gateway_settings& settings,
                           std::string address, std::string body) {
  single_http_call call(executor);
  call.request.method(http::verb::post);
  call.request.target("/v1/cancel");
  call.request.set(http::field::content_type, "application/json");
  call.request.body() = std::move(body);
  co_await Run(call, settings, address);
}

}  // namespace

awaitable<std::optional<backend_identity>> ProbeBackend(const asio::any_io_executor& executor,
                                                        const gateway_settings& settings,
                                                        const std::string& address) {
  single_http_call call(executor);
  call.request.method(http::verb::get);
  call.request.target("/v1/status");
  const error_code error = co_await Run(call, settings, address);
  if (error || call.response.result() != http::status::ok) co_return std::nullopt;
  const auto status = nlohmann::json::parse(call.response.body(), nullptr, false);
  if (!status.is_object()) co_return std::nullopt;
  backend_identity identity;
  const auto run = status.find("incarnation");
  if (run != status.end() && run->is_number_unsigned()) {
    identity.incarnation = incarnation(run->get<std::uint64_t>());
  }
  const auto uptime = status.find("uptime_ms");
  if (uptime != status.end() && uptime->is_number_unsigned()) {
    identity.uptime = milliseconds(uptime->get<milliseconds::rep>());
  }
  co_return identity;
}

void CancelAttempt(const asio::any_io_executor& executor, gateway_core& core,
                   const std::string& address, const attempt_id& attempt) {
  core.metrics.CountCancelled();
  nlohmann::json body;
  body["attempt_id"] = attempt.str();
  auto task = SendCancel(executor, core.settings, address, body.dump());
  asio::co_spawn(executor, std::move(task), asio::detached);
}

std::optional<backend_identity> ParseBackendIdentity(const http::fields& headers) {
  const auto run = ParseNumber<std::uint64_t>(headers["X-Engine-Incarnation"]);
  if (!run) return std::nullopt;
  const auto uptime = ParseNumber<milliseconds::rep>(headers["X-Engine-Uptime-Ms"]);
  return backend_identity{incarnation(*run), milliseconds(uptime.value_or(0))};
}

void ReportIdentity(control_access& control, const backend_view& view,
                    const backend_identity& seen) {
  if (seen.incarnation == view.incarnation) return;
  control.ReportIncarnation(view.vm, seen.incarnation, seen.uptime);
}

}  // namespace waxwingwing
