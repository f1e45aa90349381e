#include "gateway/service_relay.h"

#include <chrono>
#include <optional>

#include "gateway/backend_calls.h"
#include "gateway/placer.h"
#include "waxwingwing/platform/response_reader.h"

namespace waxwingwing {
namespace {

using service_request = http::request<http::span_body<const char>>;

void CopyHeader(const request_context& context, std::string_view name, service_request& request) {
  const std::string_view value = context.Header(name);
  if (!value.empty()) request.set(name, value);
}

service_request MakeRequest(const request_context& context, const backend_view& view) {
  const auto& call = context.parser.get();
  service_request request;
  request.version(11);
  request.method_string(call.method_string());
  request.target(context.service_target);
  request.set(http::field::host, view.address);
  request.set("X-Request-Id", context.id.str());
  CopyHeader(context, "Content-Type", request);
  CopyHeader(context, "Idempotency-Key", request);
  CopyHeader(context, "X-Organisation", request);
  request.keep_alive(false);
  request.body() = beast::span<const char>(call.body().data(), call.body().size());
  request.prepare_payload();
  return request;
}

}  // namespace

awaitable<void> service_relay::Run() {
  bool again = true;
  while (again) {
    const call_end end = co_await RunAttempt();
    if (end.complete) break;
    if (MayInterrupt() && context_.caller->gone()) {
      context_.core.metrics.CountRefusal("caller_gone");
      context_.answer_sent = true;
      context_.keep_alive = false;
      break;
    }
    again = co_await AfterFailure(end.failure);
  }
  context_.ReleasePlacement();
}

awaitable<service_relay::call_end> service_relay::RunAttempt() {
  context_.core.metrics.CountAttempt();
  backend_connection connection(context_.executor());
  // A non-repeatable call continues after its caller disconnects, so that its outcome is recorded.
  if (MayInterrupt()) context_.caller->SetInterrupt([&connection] { connection.Close(); });
  const call_end end = co_await Exchange(connection);
  context_.caller->SetInterrupt(nullptr);
  co_return end;
}

awaitable<service_relay::call_end> service_relay::Exchange(backend_connection& connection) {
  const gateway_settings& settings = context_.core.settings;
  const backend_view& view = context_.placement->view;
  error_code error =
      co_await connection.Connect(view.address, settings.socket_buffer, settings.connect_timeout);
  if (error) co_return co_await Failed(error, view, false);
  byte_may_be_sent_ = true;
  if (context_.claim != nullptr) context_.claim->SetSent();
  const service_request request = MakeRequest(context_, view);
  connection.stream().expires_after(settings.first_byte_timeout);
  co_await http::async_write(connection.stream(), request, StoreError(error));
  std::optional<http::response_parser<http::string_body>> parser;
  if (!error) {
    const response_limits limits{kMaxAnswerHeadBytes, settings.max_collected_answer.get()};
    const head_result head =
        co_await ReadResponseHead(connection.stream(), connection.buffer(), parser, limits,
                                  request.method() == http::verb::head);
    error = head.error;
  }
  if (!error) {
    connection.stream().expires_after(settings.first_byte_timeout);
    co_await http::async_read(connection.stream(), connection.buffer(), *parser, StoreError(error));
  }
  if (error) co_return co_await Failed(error, view, true);
  if (parser->need_eof() && request.method() != http::verb::head) {
    const bool is_whole = co_await IsWholeAtConnectionEnd(parser->get().base(), view);
    if (!is_whole) co_return call_end{false, attempt_failure::kNoAnswer};
  }
  TakeAnswer(parser->get());
  co_return call_end{true};
}

awaitable<bool> service_relay::IsWholeAtConnectionEnd(const http::fields& response,
                                                      const backend_view& view) {
  const auto answered = ParseBackendIdentity(response);
  const auto running =
      co_await ProbeBackend(context_.executor(), context_.core.settings, view.address);
  if (!running) {
    context_.core.control.ReportBackendFailure(view.vm, view.incarnation);
    co_return false;
  }
  ReportIdentity(context_.core.control, view, *running);
  co_return running->incarnation == (answered ? answered->incarnation : view.incarnation);
}

awaitable<service_relay::call_end> service_relay::Failed(error_code error, const backend_view& view,
                                                         bool sent) {
  control_access& control = context_.core.control;
  if (MayInterrupt() && context_.caller->gone()) co_return call_end{};
  if (!sent || IsReset(error)) control.ReportBackendFailure(view.vm, view.incarnation);
  if (!sent) co_return call_end{false, attempt_failure::kConnectFailed};
  if (error != beast::error::timeout) co_return call_end{false, attempt_failure::kNoAnswer};
  const auto identity =
      co_await ProbeBackend(context_.executor(), context_.core.settings, view.address);
  if (identity) co_return call_end{false, attempt_failure::kFirstByteTimeout};
  control.ReportBackendFailure(view.vm, view.incarnation);
  co_return call_end{false, attempt_failure::kServerUnresponsive};
}

void service_relay::TakeAnswer(http::response<http::string_body>& response) {
  context_.group->ReportAnswered(context_.placement->view);
  const auto identity = ParseBackendIdentity(response.base());
  if (identity) {
    ReportIdentity(context_.core.control, context_.placement->view, *identity);
  }
  context_.answer.status = response.result_int();
  context_.answer.content_type = response[http::field::content_type];
  context_.answer.body = std::move(response.body());
  RecordOutcome();
}

void service_relay::RecordOutcome() {
  if (context_.claim == nullptr) return;
  const whole_answer& answer = context_.answer;
  // A truncated answer must not be replayed as a complete one, so a larger answer is not recorded
  // and later requests with the key get `outcome_unknown`.
  if (byte_count(answer.body.size()) > context_.core.settings.max_recorded_outcome) return;
  context_.claim->Record({answer.status, answer.content_type, answer.body});
}

awaitable<bool> service_relay::AfterFailure(attempt_failure failure) {
  const time_point now = std::chrono::steady_clock::now();
  if (IndicatesUnresponsiveServer(failure))
    context_.group->ReportUnanswered(context_.placement->view, now);
  failed_attempt failed;
  failed.failure = failure;
  failed.repeatable = context_.service->repeatable;
  failed.byte_may_be_sent = byte_may_be_sent_;
  failed.retries = retries_;
  failed.max_retries = context_.core.settings.max_retries;
  const auto take_budget = [this] { return context_.core.retries.TryTake(); };
  const attempt_decision decision = DecideNextStep(failed, take_budget);
  if (decision.step == next_step::kAnswerError) {
    Fail({decision.code, "the last attempt failed: " + std::string(ToText(failure)),
          decision.execution});
    co_return false;
  }
  ++retries_;
  context_.core.metrics.CountRetry(ToText(failure));
  const bool unreachable =
      failure == attempt_failure::kConnectFailed || failure == attempt_failure::kServerUnresponsive;
  context_.placement_input.Exclude(context_.placement->view, unreachable, now);
  context_.ReleasePlacement();
  const placement_outcome outcome = co_await WaitForPlacement(context_, context_.deadline);
  if (outcome.status == placement_status::kPlaced) co_return true;
  Fail(ToRefusal(outcome));
  co_return false;
}

void service_relay::Fail(refusal reason) {
  if (byte_may_be_sent_) reason.truth = execution_status::kUnknown;
  context_.Refuse(reason);
}

}  // namespace waxwingwing
