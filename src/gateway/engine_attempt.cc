#include "gateway/engine_attempt.h"

#include <array>
#include <chrono>
#include <optional>

#include "gateway/backend_calls.h"
#include "waxwingwing/platform/response_reader.h"

namespace waxwingwing {
namespace {

constexpr std::size_t kReadChunkSize = 4096;
// Bytes reserved in the buffer of the stream for the server-sent event framing around event data.
constexpr byte_count kEventFramingSize{16};

using engine_request = http::request<http::span_body<const char>>;

engine_request MakeRequest(const request_context& context, const backend_view& view,
                           const attempt_id& attempt, token_count first_index) {
  engine_request request(http::verb::post, "/v1/chat/completions", 11);
  request.set(http::field::host, view.address);
  request.set(http::field::content_type, "application/json");
  request.set("X-Request-Id", context.id.str());
  request.set("X-Attempt-Id", attempt.str());
  request.set("X-Replica", view.replica.str());
  request.set("X-Generation", std::to_string(view.generation.get()));
  request.set("X-Resume-Offset", std::to_string(first_index.get()));
  request.set("X-Priority", std::to_string(context.organisation->priority));
  request.keep_alive(false);
  request.body() = beast::span<const char>(context.engine_body.data(), context.engine_body.size());
  request.prepare_payload();
  return request;
}

attempt_failure ToAttemptFailure(http::status status) {
  switch (status) {
    case http::status::conflict:
      return attempt_failure::kNotAssigned;
    case http::status::bad_request:
    case http::status::not_found:
    case http::status::payload_too_large:
    case http::status::unprocessable_entity:
      return attempt_failure::kRequestRejected;
    default:
      return attempt_failure::kServerRefused;
  }
}

}  // namespace

engine_attempt::engine_attempt(request_context& context, answer_sink& sink,
                               const backend_view& view, attempt_id id, token_count first_index,
                               time_point& last_token_at)
    : context_(context),
      sink_(sink),
      view_(view),
      id_(id),
      last_token_at_(last_token_at),
      connection_(context.executor()),
      stream_(context.id, std::move(id), first_index),
      events_(context.core.settings.stream_buffer - kEventFramingSize) {}

awaitable<attempt_end> engine_attempt::Run() {
  context_.core.metrics.CountAttempt();
  context_.caller->SetInterrupt([this] { connection_.Close(); });
  const attempt_end end = co_await Exchange();
  context_.caller->SetInterrupt(nullptr);
  connection_.Close();
  co_return end;
}

awaitable<attempt_end> engine_attempt::Exchange() {
  const gateway_settings& settings = context_.core.settings;
  error_code error =
      co_await connection_.Connect(view_.address, settings.socket_buffer, settings.connect_timeout);
  if (context_.caller->gone()) co_return Ended(attempt_end::kind::kCallerGone);
  if (error) {
    context_.core.control.ReportBackendFailure(view_.vm, view_.incarnation);
    co_return Failed(attempt_failure::kConnectFailed);
  }
  sent_ = true;
  connection_.stream().expires_after(settings.first_byte_timeout);
  error = co_await SendRequest();
  std::optional<header_parser> parser;
  if (!error) {
    const response_limits limits{kMaxAnswerHeadBytes, std::nullopt};
    const head_result head =
        co_await ReadResponseHead(connection_.stream(), connection_.buffer(), parser, limits);
    error = head.error;
  }
  if (error) co_return co_await HandleConnectionError(error);
  header_read_ = true;
  const auto refused = CheckResponse(parser->get().base());
  if (refused) co_return *refused;
  co_return co_await ReadEvents(*parser);
}

awaitable<error_code> engine_attempt::SendRequest() {
  const engine_request request = MakeRequest(context_, view_, id_, stream_.next_index());
  error_code error;
  co_await http::async_write(connection_.stream(), request, StoreError(error));
  co_return error;
}

std::optional<attempt_end> engine_attempt::CheckResponse(const http::response_header<>& header) {
  const auto identity = ParseBackendIdentity(header);
  if (identity) ReportIdentity(context_.core.control, view_, *identity);
  if (header.result() != http::status::ok) {
    attempt_end end = Failed(ToAttemptFailure(header.result()));
    end.to_cancel = false;
    return end;
  }
  const auto reason = stream_.CheckHeaders(header["X-Request-Id"], header["X-Attempt-Id"]);
  if (reason == drop_reason::kNone) return std::nullopt;
  context_.core.metrics.CountDropped(ToText(reason));
  return Failed(attempt_failure::kWrongAnswer);
}

awaitable<attempt_end> engine_attempt::ReadEvents(header_parser& parser) {
  const gateway_settings& settings = context_.core.settings;
  std::array<char, kReadChunkSize> chunk;
  std::vector<server_event> events;
  while (!parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    const milliseconds limit = token_read_ ? settings.gap_timeout : settings.first_byte_timeout;
    connection_.stream().expires_after(limit);
    error_code error;
    co_await http::async_read_some(connection_.stream(), connection_.buffer(), parser,
                                   StoreError(error));
    const std::size_t size = chunk.size() - parser.get().body().size;
    events.clear();
    const bool fits = events_.Feed(std::string_view(chunk.data(), size), events);
    const auto end = co_await TakeEvents(events);
    if (end) co_return *end;
    if (!fits) {
      context_.core.metrics.CountDropped(ToText(drop_reason::kEventTooLarge));
      co_return Failed(attempt_failure::kWrongAnswer);
    }
    if (error && error != http::error::need_buffer) co_return co_await HandleConnectionError(error);
  }
  co_return Failed(attempt_failure::kStreamInterrupted);
}

awaitable<std::optional<attempt_end>> engine_attempt::TakeEvents(
    std::vector<server_event>& events) {
  using verdict = engine_stream::verdict;
  for (const server_event& event : events) {
    const auto token = stream_.Accept(event);
    if (token.reason != drop_reason::kNone) {
      context_.core.metrics.CountDropped(ToText(token.reason));
    }
    if (token.outcome == verdict::kDropped) continue;
    if (token.outcome == verdict::kComplete) co_return attempt_end();
    if (token.outcome == verdict::kUnusable) co_return Failed(attempt_failure::kWrongAnswer);
    token_read_ = true;
    unaccepted_tokens_ = token_count(1);
    const push_result pushed = co_await sink_.Push(event.data, token);
    if (pushed == push_result::kStalled) co_return Ended(attempt_end::kind::kStalled);
    if (pushed == push_result::kCallerGone) co_return Ended(attempt_end::kind::kCallerGone);
    if (pushed == push_result::kTooLarge) co_return Ended(attempt_end::kind::kTooLarge);
    if (pushed == push_result::kBufferFull) co_return Ended(attempt_end::kind::kBufferFull);
    unaccepted_tokens_ = token_count(0);
    ObserveToken();
  }
  co_return std::nullopt;
}

awaitable<attempt_end> engine_attempt::HandleConnectionError(error_code error) {
  if (context_.caller->gone()) co_return Ended(attempt_end::kind::kCallerGone);
  if (error == beast::error::timeout) co_return co_await HandleReadTimeout();
  if (IsReset(error)) context_.core.control.ReportBackendFailure(view_.vm, view_.incarnation);
  if (header_read_) co_return Failed(attempt_failure::kStreamInterrupted);
  co_return Failed(attempt_failure::kNoAnswer);
}

awaitable<attempt_end> engine_attempt::HandleReadTimeout() {
  connection_.Close();
  const auto identity =
      co_await ProbeBackend(context_.executor(), context_.core.settings, view_.address);
  if (!identity) {
    context_.core.control.ReportBackendFailure(view_.vm, view_.incarnation);
    co_return Failed(attempt_failure::kServerUnresponsive);
  }
  ReportIdentity(context_.core.control, view_, *identity);
  if (token_read_) co_return Failed(attempt_failure::kConnectionStalled);
  co_return Failed(attempt_failure::kFirstByteTimeout);
}

attempt_end engine_attempt::Failed(attempt_failure failure) const {
  attempt_end end = Ended(attempt_end::kind::kFailed);
  end.failure = failure;
  return end;
}

attempt_end engine_attempt::Ended(attempt_end::kind outcome) const {
  attempt_end end;
  end.outcome = outcome;
  end.byte_may_be_sent = sent_;
  end.to_cancel = sent_;
  return end;
}

void engine_attempt::ObserveToken() {
  const time_point now = std::chrono::steady_clock::now();
  if (last_token_at_ == time_point()) {
    context_.core.metrics.ObserveFirstTokenLatency(now - context_.arrived);
  } else {
    context_.core.metrics.ObserveInterTokenLatency(now - last_token_at_);
  }
  last_token_at_ = now;
}

}  // namespace waxwingwing
