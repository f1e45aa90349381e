#include "tests/integration/request_callers.h"

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>

#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {

using nlohmann::json;

namespace {

// Longer than the deadline of a call and the answer margin of the entry VM.
constexpr milliseconds kCallTimeout{20000};
// Longer than the wait of a begun stream for a replica to resume on.
constexpr event_stream::settings kStreamSettings{milliseconds(45000), 0};
constexpr milliseconds kPauseAfterRefusal{10};

bool DeskAnswers(deployment& running, const std::string& entry, std::size_t services) {
  const json status = StatusOf(running, entry);
  const json& list = status.at("services");
  const auto serving = std::count_if(
      list.begin(), list.end(), [](const json& unit) { return unit.at("serving").get<bool>(); });
  return static_cast<std::size_t>(serving) >= services;
}

json ErrorIn(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  return document.is_object() ? document.value("error", json()) : json();
}

bool IsPrefix(const std::vector<std::string>& tokens, const std::vector<std::string>& expected) {
  return tokens.size() <= expected.size() &&
         std::equal(tokens.begin(), tokens.end(), expected.begin());
}

std::string MessageOf(const http_answer& answer) {
  const json error = ErrorIn(answer.body);
  return error.is_object() ? error.value("message", std::string()) : std::string();
}

}  // namespace

result<http_answer> Send(const desk_call& call) {
  http_call request;
  request.method = "POST";
  request.path = "/v1/services/desk/confirmations";
  request.headers = {{"X-Organisation", "acme"},
                     {"Idempotency-Key", call.key},
                     {"X-Deadline-Ms", std::to_string(call.deadline.count())},
                     {"Content-Type", "application/json"}};
  request.body = call.body;
  return http_client(call.address, kCallTimeout).Send(request);
}

std::future<result<http_answer>> SendLater(const desk_call& call) {
  return std::async(std::launch::async, [call] { return Send(call); });
}

std::string ErrorCode(const http_answer& answer) {
  const json error = ErrorIn(answer.body);
  return error.is_object() ? error.value("code", std::string()) : std::string();
}

std::string AttemptOf(const json& error) {
  if (!error.is_object() || !error.contains("error")) return {};
  return error.at("error").value("attempt", std::string());
}

std::size_t RunsOf(const deployment& running, const std::string& key) {
  std::size_t runs = 0;
  for (const vm_records& service : running.Records("service")) {
    for (const json& call : service.List("calls")) {
      if (call.at("idempotency_key") == key) ++runs;
    }
  }
  return runs;
}

std::size_t RequestsOf(const deployment& running, const std::string& request_id) {
  std::size_t requests = 0;
  for (const vm_records& engine : running.Records("engine")) {
    for (const json& request : engine.List("requests")) {
      if (request.at("request_id") == request_id) ++requests;
    }
  }
  return requests;
}

void StartDesk(deployment& running, std::size_t services) {
  const json note = running.BaseReleaseNote("n1");
  const auto applied = [&] { return running.ApplyReleaseNote(note).status == 200; };
  if (!WaitFor(applied, kStartBound)) throw std::runtime_error("release note not applied");
  for (const std::string& entry : running.VmIds("entry")) {
    const auto serving = [&] { return DeskAnswers(running, entry, services); };
    if (!WaitFor(serving, kStartBound)) throw std::runtime_error("services not serving");
    std::size_t attempt = 0;
    const auto answers = [&] {
      const std::string key = "start-" + entry + "-" + std::to_string(attempt++);
      const auto answer = Send({running.CallerAddress(entry), key});
      return answer && answer->status == 200;
    };
    if (!WaitFor(answers, kStartBound)) throw std::runtime_error("no answer through " + entry);
  }
}

chat_callers::chat_callers(settings options) : settings_(std::move(options)) {
  for (std::size_t caller = 0; caller < settings_.callers; ++caller) {
    threads_.emplace_back([this, caller] { Call(caller); });
  }
}

void chat_callers::Call(std::size_t caller) {
  header_list headers = CallerHeaders();
  headers.emplace_back("X-Deadline-Ms", std::to_string(settings_.deadline.count()));
  for (std::size_t number = 0; !stopping_; ++number) {
    outcome one;
    one.text = settings_.name + " caller " + std::to_string(caller) + " question " +
               std::to_string(number);
    one.address = settings_.addresses[(caller + number) % settings_.addresses.size()];
    event_stream stream(one.address, "/v1/chat/completions", headers,
                        ChatBody(one.text, settings_.max_tokens), kStreamSettings);
    one.answer = stream.ReadAll();
    one.whole = IsWhole(one.answer, one.text, settings_.max_tokens);
    if (one.whole) ++whole_;
    const bool refused = one.answer.raw.status != 200;
    {
      const std::lock_guard lock(mutex_);
      outcomes_.push_back(std::move(one));
    }
    if (refused) std::this_thread::sleep_for(kPauseAfterRefusal);
  }
}

std::vector<chat_callers::outcome> chat_callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return std::move(outcomes_);
}

std::string FaultOfAnswer(const stream_answer& answer, const std::string& text,
                          std::uint64_t max_tokens) {
  if (IsWhole(answer, text, max_tokens)) return {};
  if (!answer.failure.empty()) return text + ": " + answer.failure;
  if (answer.raw.status != 200) {
    return AttemptOf(json::parse(answer.raw.body, nullptr, false)).empty()
               ? text + ": refusal without an attempt: " + answer.raw.body
               : std::string();
  }
  if (answer.done) return text + ": [DONE] after a wrong or short answer";
  if (!answer.error_event.has_value()) return text + ": ended without [DONE] or an error event";
  if (!IsPrefix(answer.tokens, ExpectedTokens(text, max_tokens))) return text + ": wrong tokens";
  return {};
}

std::string CountByEnd(const std::vector<chat_callers::outcome>& outcomes) {
  std::map<std::string, std::size_t> counts;
  for (const chat_callers::outcome& one : outcomes) {
    std::string end = "whole";
    if (!one.whole) {
      const json error =
          one.answer.error_event.value_or(json::object()).value("error", json::object());
      end = std::to_string(one.answer.raw.status) + ' ' + ErrorCode(one.answer.raw) +
            error.value("code", std::string()) + ": " + MessageOf(one.answer.raw) +
            error.value("message", std::string()) + one.answer.failure;
    }
    ++counts[end];
  }
  std::string text;
  for (const auto& [end, count] : counts) text += end + ": " + std::to_string(count) + "; ";
  return text;
}

finding_list CheckNotRun(const deployment& running,
                         const std::vector<chat_callers::outcome>& outcomes) {
  std::set<std::string> ran;
  for (const vm_records& engine : running.Records("engine")) {
    for (const json& request : engine.List("requests")) {
      ran.insert(request.at("request_id").get<std::string>());
    }
  }
  finding_list findings;
  for (const chat_callers::outcome& one : outcomes) {
    const json error = one.answer.error_event.has_value()
                           ? *one.answer.error_event
                           : json::parse(one.answer.raw.body, nullptr, false);
    if (one.whole || AttemptOf(error) != "not_run") continue;
    const std::string id = one.answer.raw.Header("X-Request-Id");
    if (id.empty()) findings.Add(one.text, "refusal without X-Request-Id");
    if (ran.contains(id)) findings.Add(one.text, "says not_run, but an engine has request " + id);
  }
  return findings;
}

}  // namespace waxwingwing::integration
