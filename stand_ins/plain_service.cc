#include "stand_ins/plain_service.h"

#include "stand_ins/flags.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing::stand_ins {

plain_service::plain_service(asio::io_context& context)
    : stand_in(context),
      incarnation_(random_source::FromDevice().Next()),
      started_at_(std::chrono::steady_clock::now()) {}

awaitable<void> plain_service::HandleRequest(http_exchange& exchange) {
  if (exchange.path() == "/v1/status") {
    const json status = {{"vm", FLAGS_vm_id},
                         {"incarnation", incarnation_},
                         {"uptime_ms", UptimeMs()},
                         {"state", "ready"},
                         {"running", running_}};
    co_await exchange.Answer(200, status);
    co_return;
  }
  co_await Run(exchange);
}

awaitable<void> plain_service::Run(http_exchange& exchange) {
  ++running_;
  const scope_guard leave([&] { --running_; });
  const std::size_t call = RecordCall(exchange);
  co_await Sleep(milliseconds(FLAGS_service_ms));
  const bool dropped = drop_answers_ > 0;
  records().Update("calls", call, {{"ended_at_us", MonotonicMicros()}, {"answer_lost", dropped}});
  if (dropped) {
    --drop_answers_;
    exchange.Close();
    co_return;
  }
  const json answer = {{"vm", FLAGS_vm_id},
                       {"call", call},
                       {"method", exchange.Method()},
                       {"path", exchange.path()},
                       {"echo", exchange.request().body()}};
  header_list headers = {{"X-Engine-Incarnation", std::to_string(incarnation_)},
                         {"X-Engine-Uptime-Ms", std::to_string(UptimeMs())},
                         {"X-Request-Id", exchange.Header("X-Request-Id")},
                         {"X-Attempt-Id", exchange.Header("X-Attempt-Id")}};
  co_await exchange.AnswerText(200, answer.dump(), std::move(headers));
}

std::size_t plain_service::RecordCall(const http_exchange& exchange) {
  if (running_ > FLAGS_max_requests) {
    records().Add("violations", {{"at_us", MonotonicMicros()},
                                 {"kind", "requests"},
                                 {"held", running_},
                                 {"limit", FLAGS_max_requests}});
  }
  return records().Add("calls", {{"at_us", MonotonicMicros()},
                                 {"vm", FLAGS_vm_id},
                                 {"method", exchange.Method()},
                                 {"path", exchange.path()},
                                 {"idempotency_key", exchange.Header("Idempotency-Key")},
                                 {"organisation", exchange.Header("X-Organisation")},
                                 {"request_id", exchange.Header("X-Request-Id")},
                                 {"attempt_id", exchange.Header("X-Attempt-Id")},
                                 {"held_requests", running_},
                                 {"body", exchange.request().body()}});
}

std::int64_t plain_service::UptimeMs() const {
  const auto uptime = std::chrono::steady_clock::now() - started_at_;
  return std::chrono::duration_cast<milliseconds>(uptime).count();
}

bool plain_service::SetFault(const std::string& name, const json& value) {
  if (name != "drop_answers") return stand_in::SetFault(name, value);
  drop_answers_ = value.get<std::uint64_t>();
  return true;
}

}  // namespace waxwingwing::stand_ins
