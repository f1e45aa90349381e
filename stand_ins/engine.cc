#include "stand_ins/engine.h"

#include <cstdlib>

#include "stand_ins/answer_tokens.h"
#include "stand_ins/flags.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing::stand_ins {
namespace {

// Poll interval at which waiting requests check for a cancellation, a closed connection or a
// cleared fault.
constexpr milliseconds kPollInterval{5};
constexpr std::size_t kCachedPrefixCharacters = 64;
// Limits the memory that the records take; longer answers can be recomputed from the request's
// text.
constexpr std::size_t kRecordedAnswerBytes = 1024;

engine_load::limits LimitsFromFlags() {
  return {FLAGS_cold_requests, FLAGS_max_requests, milliseconds(FLAGS_warm_up_ms),
          FLAGS_kv_tokens_limit};
}

}  // namespace

engine::engine(asio::io_context& context)
    : stand_in(context),
      member_(context, records()),
      load_(LimitsFromFlags(), milliseconds(FLAGS_report_lag_ms)) {
  records().Add("peaks", {{"vm", FLAGS_vm_id}, {"requests", 0}, {"kv_tokens", 0}});
  StartIncarnation("start");
}

awaitable<void> engine::HandleRequest(http_exchange& exchange) {
  const std::string& path = exchange.path();
  if (path == "/v1/status") {
    const json status = Status();
    co_await exchange.Answer(200, status);
  } else if (path == "/v1/orders") {
    co_await Order(exchange);
  } else if (path == "/v1/chat/completions") {
    co_await Chat(exchange);
  } else if (path == "/v1/cancel") {
    co_await Cancel(exchange);
  } else if (path == "/v1/cache_events") {
    co_await CacheEvents(exchange);
  } else {
    const json body = {{"error", "no such path"}};
    co_await exchange.Answer(404, body);
  }
}

awaitable<void> engine::Order(http_exchange& exchange) {
  const auto before = member_.current();
  const engine_member::verdict verdict = member_.Execute(exchange.Body());
  if (member_.current() != before) StopAll("reassigned");
  const unsigned status = verdict == engine_member::verdict::kOldFencingNumber ? 409 : 200;
  const json body = Status();
  co_await exchange.Answer(status, body);
}

awaitable<void> engine::Cancel(http_exchange& exchange) {
  const std::string attempt = exchange.Body().at("attempt_id").get<std::string>();
  std::uint64_t cancelled = 0;
  for (engine_request* request : running_) {
    if (request->source.attempt_id != attempt) continue;
    Stop(*request, "cancelled");
    ++cancelled;
  }
  const json body = {{"cancelled", cancelled}};
  co_await exchange.Answer(200, body);
}

awaitable<void> engine::CacheEvents(http_exchange& exchange) {
  json events = json::array();
  for (std::size_t index = exchange.QueryNumber("from", 0); index < cache_events_.size(); ++index) {
    events.push_back(cache_events_[index]);
  }
  const json body = {{"next", cache_events_.size()}, {"events", events}};
  co_await exchange.Answer(200, body);
}

awaitable<void> engine::Chat(http_exchange& exchange) {
  engine_request request(exchange);
  ParseChat(request);
  const unsigned refusal = RefusalStatus(exchange);
  if (refusal != 0) {
    co_await Refuse(request, refusal);
    co_return;
  }
  StartRequest(request);
  if (request.stream) {
    co_await Stream(request);
  } else {
    co_await AnswerComplete(request);
  }
  FinishRequest(request);
}

unsigned engine::RefusalStatus(const http_exchange& exchange) const {
  const auto& own = member_.current();
  if (!own.has_value()) return 503;
  const bool is_own = exchange.Header("X-Replica") == own->replica &&
                      exchange.Header("X-Generation") == std::to_string(own->generation);
  if (!is_own || own->rank != 0) return 409;
  return member_.ready() ? 0 : 503;
}

awaitable<void> engine::Refuse(engine_request& request, unsigned status) {
  json record = RequestRecord(request);
  record["ended"] = "refused_" + std::to_string(status);
  records().Add("refusals", std::move(record));
  header_list headers = AnswerHeaders(request.source);
  headers.emplace_back("X-Not-Started", "1");
  const json body = {{"error", status == 409 ? "not this replica" : "not ready"}};
  co_await request.exchange.AnswerText(status, body.dump(), std::move(headers));
}

void engine::StartRequest(engine_request& request) {
  load_.Add(request.kv_tokens, std::chrono::steady_clock::now());
  request.held = true;
  records().Update("peaks", 0,
                   {{"requests", load_.peak().requests}, {"kv_tokens", load_.peak().kv_tokens}});
  request.record = records().Add("requests", RequestRecord(request));
  running_.insert(&request);
  CheckLimits();
  AssignFaults(request);
  cache_events_.push_back(
      {{"sequence", cache_events_.size()},
       {"kind", "stored"},
       {"prefix", StableHash(request.source.text.substr(0, kCachedPrefixCharacters))}});
}

void engine::CheckLimits() {
  const std::uint64_t limit = load_.RequestLimit(TimeSinceCold());
  json violation = {{"at_us", MonotonicMicros()},
                    {"vm", FLAGS_vm_id},
                    {"ready_ms", TimeSinceCold().count()},
                    {"incarnation", incarnation_}};
  if (load_.held().requests > limit) {
    violation.update({{"kind", "requests"}, {"held", load_.held().requests}, {"limit", limit}});
    records().Add("violations", violation);
  }
  if (load_.held().kv_tokens <= load_.kv_limit()) return;
  violation.update(
      {{"kind", "kv_tokens"}, {"held", load_.held().kv_tokens}, {"limit", load_.kv_limit()}});
  records().Add("violations", violation);
  std::_Exit(kCrashExitCode);
}

void engine::AssignFaults(engine_request& request) {
  const answer_source own = request.source;
  if (faults_.wrong_ids > 0 && last_source_.has_value()) {
    --faults_.wrong_ids;
    request.source = *last_source_;
    records().Update("requests", request.record, {{"answered_as", last_source_->attempt_id}});
  }
  last_source_ = own;
  if (!request.stream) return;
  if (faults_.silence_streams > 0) {
    --faults_.silence_streams;
    request.fault = engine_request::mid_stream_fault::kSilence;
  } else if (faults_.drop_streams > 0) {
    --faults_.drop_streams;
    request.fault = engine_request::mid_stream_fault::kDrop;
  }
}

void engine::FinishRequest(engine_request& request) {
  running_.erase(&request);
  ReleaseLoad(request);
  if (request.ended.empty()) request.ended = "complete";
  if (request.ended != "complete") request.exchange.Close();
  records().Update("requests", request.record,
                   {{"ended_at_us", MonotonicMicros()},
                    {"ended", request.ended},
                    {"last_token_at_us", request.last_token_at_us},
                    {"tokens_sent", request.tokens_sent},
                    {"sent", request.sent}});
}

awaitable<void> engine::Stream(engine_request& request) {
  http_exchange& exchange = request.exchange;
  header_list headers = AnswerHeaders(request.source);
  bool open = co_await exchange.BeginChunks("text/event-stream", std::move(headers));
  time_point due = std::chrono::steady_clock::now();
  for (std::uint64_t index = request.first_token; open && index < request.max_tokens; ++index) {
    const bool runs = co_await NextToken(request, index, due);
    if (!runs) co_return;
    open = co_await exchange.WriteChunk(ToEvent(request.source, index));
    if (open) RecordToken(request, index);
  }
  if (open) open = co_await exchange.WriteChunk("data: [DONE]\n\n");
  if (open) open = co_await exchange.EndChunks();
  if (!open && request.ended.empty()) request.ended = "disconnected";
}

awaitable<void> engine::AnswerComplete(engine_request& request) {
  std::string content;
  time_point due = std::chrono::steady_clock::now();
  for (std::uint64_t index = request.first_token; index < request.max_tokens; ++index) {
    const bool runs = co_await NextToken(request, index, due);
    if (!runs) co_return;
    content += AnswerToken(request.source.text, index);
    RecordToken(request, index);
  }
  const json message = {{"role", "assistant"}, {"content", content}};
  const json choice = {{"index", 0}, {"message", message}, {"finish_reason", "length"}};
  const json body = {{"id", request.source.request_id},
                     {"attempt", request.source.attempt_id},
                     {"object", "chat.completion"},
                     {"choices", json::array({choice})}};
  header_list headers = AnswerHeaders(request.source);
  const bool open = co_await request.exchange.AnswerText(200, body.dump(), std::move(headers));
  if (!open && request.ended.empty()) request.ended = "disconnected";
}

awaitable<bool> engine::NextToken(engine_request& request, std::uint64_t index, time_point& due) {
  const bool is_middle = index == request.MiddleToken();
  if (is_middle && request.fault == engine_request::mid_stream_fault::kDrop)
    Stop(request, "dropped");
  const bool silent = is_middle && request.fault == engine_request::mid_stream_fault::kSilence;
  const auto step = std::chrono::duration<double, std::milli>(MsPerToken());
  // After a slow read by the client, generation continues at its normal rate instead of catching
  // up.
  due =
      std::max(due + std::chrono::duration_cast<duration>(step), std::chrono::steady_clock::now());
  for (;;) {
    if (request.ended.empty() && request.exchange.IsClosed()) request.ended = "disconnected";
    if (!request.ended.empty()) co_return false;
    const time_point now = std::chrono::steady_clock::now();
    const bool blocked = silent || frozen();
    if (now >= due && !blocked) co_return true;
    const duration rest = blocked ? duration(kPollInterval) : due - now;
    co_await Sleep(std::min(rest, duration(kPollInterval)));
  }
}

void engine::RecordToken(engine_request& request, std::uint64_t index) {
  ++request.tokens_sent;
  if (request.sent.size() < kRecordedAnswerBytes) {
    request.sent += AnswerToken(request.source.text, index);
  }
  const std::int64_t now = MonotonicMicros();
  // Only the first token updates the records file immediately; the time of the last token is
  // written when the request ends.
  if (request.tokens_sent == 1) {
    records().Update("requests", request.record, {{"first_token_at_us", now}});
  }
  request.last_token_at_us = now;
}

void engine::Stop(engine_request& request, const std::string& how) {
  if (request.ended.empty()) request.ended = how;
  request.exchange.Close();
}

void engine::StopAll(const std::string& how) {
  for (engine_request* request : running_) {
    Stop(*request, how);
    // A restart or a new assignment clears the memory at once, even before the coroutine of the
    // request notices.
    ReleaseLoad(*request);
  }
}

void engine::ReleaseLoad(engine_request& request) {
  if (!request.held) return;
  request.held = false;
  load_.Remove(request.kv_tokens, std::chrono::steady_clock::now());
}

bool engine::SetFault(const std::string& name, const json& value) {
  if (name == "turn_cold") {
    if (!value.get<bool>()) return true;
    StopAll("restarted");
    StartIncarnation("turn_cold");
  } else if (name == "slow_factor") {
    faults_.slow_factor = value.get<double>();
  } else if (name == "silence_streams") {
    faults_.silence_streams = value.get<std::uint64_t>();
  } else if (name == "drop_streams") {
    faults_.drop_streams = value.get<std::uint64_t>();
  } else if (name == "wrong_ids") {
    faults_.wrong_ids = value.get<std::uint64_t>();
  } else if (name == "leaving") {
    faults_.leaving = value.get<bool>();
  } else {
    return stand_in::SetFault(name, value);
  }
  return true;
}

void engine::StartIncarnation(const std::string& cause) {
  incarnation_ = random_source::FromDevice().Next();
  started_at_ = std::chrono::steady_clock::now();
  records().Add("incarnations", {{"at_us", MonotonicMicros()},
                                 {"vm", FLAGS_vm_id},
                                 {"incarnation", incarnation_},
                                 {"cause", cause}});
}

json engine::Status() {
  const engine_load::amounts reported = load_.Reported(std::chrono::steady_clock::now());
  json status = {{"vm", FLAGS_vm_id},
                 {"incarnation", incarnation_},
                 {"uptime_ms", Uptime().count()},
                 {"ready_ms", member_.ready() ? TimeSinceCold().count() : 0},
                 {"state", member_.State()},
                 {"checks_fencing", FLAGS_checks_fencing},
                 {"fencing_number", member_.fencing_number()},
                 {"assignment", member_.ToJson()},
                 {"running", reported.requests},
                 {"kv_tokens_used", reported.kv_tokens},
                 {"kv_tokens_limit", load_.kv_limit()},
                 {"ms_per_token", MsPerToken()}};
  if (faults_.leaving) status["leaving"] = true;
  return status;
}

json engine::RequestRecord(const engine_request& request) const {
  const http_exchange& exchange = request.exchange;
  json record = {{"at_us", MonotonicMicros()},
                 {"vm", FLAGS_vm_id},
                 {"request_id", request.source.request_id},
                 {"attempt_id", request.source.attempt_id},
                 {"organisation", exchange.Header("X-Organisation")},
                 {"priority", exchange.Header("X-Priority")},
                 {"asked_replica", exchange.Header("X-Replica")},
                 {"asked_generation", exchange.Header("X-Generation")},
                 {"resume_offset", request.first_token},
                 {"max_tokens", request.max_tokens},
                 {"kv_tokens", request.kv_tokens},
                 {"held_requests", load_.held().requests},
                 {"held_kv_tokens", load_.held().kv_tokens},
                 {"assignment", member_.ToJson()}};
  return record;
}

header_list engine::AnswerHeaders(const answer_source& source) const {
  return {{"X-Engine-Incarnation", std::to_string(incarnation_)},
          {"X-Engine-Uptime-Ms", std::to_string(Uptime().count())},
          {"X-Request-Id", source.request_id},
          {"X-Attempt-Id", source.attempt_id}};
}

milliseconds engine::Uptime() const {
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at_);
}

milliseconds engine::TimeSinceCold() const {
  const time_point since = std::max(started_at_, member_.loaded_at());
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - since);
}

double engine::MsPerToken() const { return FLAGS_ms_per_token * faults_.slow_factor; }

}  // namespace waxwingwing::stand_ins
