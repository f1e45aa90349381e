#include "stand_ins/platform_log.h"

#include <algorithm>

#include "stand_ins/flags.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr std::uint64_t kDefaultReadLimit = 1000;
constexpr std::string_view kStreamsPrefix = "/v1/streams/";
constexpr std::string_view kRecordsSuffix = "/records";

// Extracts the name of the stream from `/v1/streams/{stream}/records`; empty for any other path.
std::string StreamName(const std::string& path) {
  if (!path.starts_with(kStreamsPrefix) || !path.ends_with(kRecordsSuffix)) return {};
  const std::size_t fixed = kStreamsPrefix.size() + kRecordsSuffix.size();
  if (path.size() <= fixed) return {};
  return DecodePercent(path.substr(kStreamsPrefix.size(), path.size() - fixed));
}

}  // namespace

awaitable<void> platform_log::HandleRequest(http_exchange& exchange) {
  const std::string name = StreamName(exchange.path());
  const std::string method = exchange.Method();
  if (!name.empty() && method == "POST") {
    co_await Append(exchange, name);
  } else if (!name.empty() && method == "GET") {
    co_await Read(exchange, name);
  } else {
    const json body = {{"error", "no such path"}};
    co_await exchange.Answer(404, body);
  }
}

awaitable<void> platform_log::Append(http_exchange& exchange, const std::string& name) {
  const json body = exchange.Body();
  const std::string append_id = body.at("append_id").get<std::string>();
  const json& payload = body.at("payload");
  const std::int64_t asked_at_us = MonotonicMicros();
  co_await WaitForTurn();
  if (outage()) {
    co_await AnswerOutage(exchange);
    co_return;
  }
  const std::uint64_t offset = streams_[name].Append(append_id, payload, FLAGS_retain_records);
  const bool lost = lose_answers_ > 0;
  records().Add("appends", {{"at_us", MonotonicMicros()},
                            {"asked_at_us", asked_at_us},
                            {"stream", name},
                            {"offset", offset},
                            {"append_id", append_id},
                            {"answer_lost", lost}});
  if (lost) {
    --lose_answers_;
    exchange.Close();
    co_return;
  }
  const json answer = {{"offset", offset}};
  co_await exchange.Answer(200, answer);
}

awaitable<void> platform_log::WaitForTurn() {
  if (FLAGS_append_delay_ms > 0) co_await Sleep(milliseconds(FLAGS_append_delay_ms));
  if (FLAGS_appends_per_second == 0) co_return;
  const duration interval = duration(std::chrono::seconds(1)) / FLAGS_appends_per_second;
  const time_point now = std::chrono::steady_clock::now();
  const time_point turn = std::max(now, next_append_);
  next_append_ = turn + interval;
  if (turn > now) co_await Sleep(turn - now);
}

awaitable<void> platform_log::Read(http_exchange& exchange, const std::string& name) {
  log_stream& stream = streams_[name];
  const std::uint64_t from = exchange.QueryNumber("from", 0);
  const std::uint64_t limit = exchange.QueryNumber("limit", kDefaultReadLimit);
  const milliseconds wait(exchange.QueryNumber("wait_ms", 0));
  const time_point deadline = std::chrono::steady_clock::now() + wait;
  while (from >= stream.next_offset() && std::chrono::steady_clock::now() < deadline && !outage()) {
    co_await stream.changed().Wait(deadline);
  }
  if (outage()) {
    co_await AnswerOutage(exchange);
  } else if (from < stream.first_offset()) {
    const json body = {{"first_offset", stream.first_offset()},
                       {"next_offset", stream.next_offset()}};
    co_await exchange.Answer(410, body);
  } else {
    header_list headers;
    co_await exchange.AnswerText(200, stream.ToText(from, limit), std::move(headers));
  }
}

awaitable<void> platform_log::AnswerOutage(http_exchange& exchange) {
  const json body = {{"error", "outage"}};
  co_await exchange.Answer(503, body);
}

bool platform_log::SetFault(const std::string& name, const json& value) {
  if (name != "lose_answers") return stand_in::SetFault(name, value);
  lose_answers_ = value.get<std::uint64_t>();
  return true;
}

void platform_log::OnFaultsSet() {
  for (auto& [name, stream] : streams_) stream.changed().Notify();
}

}  // namespace waxwingwing::stand_ins
