#include "tests/integration/open_loop_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "tests/integration/wait_for.h"
#include "waxwingwing/core/hash.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
// A waiting thread looks this often whether the load was stopped.
constexpr std::int64_t kPollMicros = 20'000;

json ErrorOf(const stream_answer& answer) {
  if (answer.error_event) return answer.error_event->value("error", json::object());
  const json body = json::parse(answer.raw.body, nullptr, false);
  return body.is_object() ? body.value("error", json::object()) : json::object();
}

void Judge(const stream_answer& answer, bool whole, open_loop_load::request& request) {
  if (whole) {
    request.result = open_loop_load::outcome::kWhole;
    return;
  }
  const json error = ErrorOf(answer);
  const bool not_run = error.value("attempt", "") == "not_run" && answer.tokens.empty();
  if (not_run) request.result = open_loop_load::outcome::kRefusedNotRun;
  request.reason = error.value("code", "");
  if (request.reason.empty()) request.reason = answer.failure;
  if (request.reason.empty()) request.reason = "not whole";
}

}  // namespace

open_loop_load::open_loop_load(deployment& running, const settings& options)
    : settings_(options), random_state_(options.seed) {
  for (const std::string& id : running.VmIds("entry")) {
    targets_.push_back({id, running.CallerAddress(id)});
  }
  next_.due_us = MonotonicMicros();
  for (std::size_t count = 0; count < settings_.connections; ++count) {
    threads_.emplace_back([this] { Work(); });
  }
}

open_loop_load::~open_loop_load() { Finish(); }

std::vector<open_loop_load::request> open_loop_load::Finish() {
  stopped_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return std::move(requests_);
}

void open_loop_load::Work() {
  while (!stopped_) {
    const arrival next = NextArrival();
    while (!stopped_ && MonotonicMicros() < next.due_us) {
      const std::int64_t rest = std::min(next.due_us - MonotonicMicros(), kPollMicros);
      std::this_thread::sleep_for(microseconds(std::max<std::int64_t>(rest, 0)));
    }
    if (stopped_) return;
    request done = Send(next);
    const std::lock_guard lock(mutex_);
    requests_.push_back(std::move(done));
  }
}

open_loop_load::arrival open_loop_load::NextArrival() {
  const std::lock_guard lock(mutex_);
  const arrival taken = next_;
  random_state_ = StableHash("arrival", random_state_);
  const double uniform = (static_cast<double>(random_state_ >> 11U) + 1) * 0x1.0p-53;
  const double gap_s = -std::log(uniform) / settings_.requests_per_second;
  ++next_.number;
  next_.due_us += static_cast<std::int64_t>(gap_s * kMicrosPerSecond);
  return taken;
}

open_loop_load::request open_loop_load::Send(const arrival& next) const {
  const target& to = targets_[next.number % targets_.size()];
  const std::string text =
      "load " + std::to_string(settings_.seed) + " " + std::to_string(next.number);
  header_list headers = CallerHeaders();
  headers.emplace_back("X-Deadline-Ms", std::to_string(settings_.deadline.count()));
  request done;
  done.entry_vm = to.entry_vm;
  done.due_us = next.due_us;
  event_stream::settings options;
  options.timeout = settings_.deadline + milliseconds(5000);
  event_stream stream(to.address, "/v1/chat/completions", headers,
                      ChatBody(text, settings_.max_tokens), options);
  if (stream.ReadTokens(1)) done.first_token_us = MonotonicMicros();
  const stream_answer& answer = stream.ReadAll();
  done.ended_us = MonotonicMicros();
  Judge(answer, IsWhole(answer, text, settings_.max_tokens), done);
  return done;
}

std::string FailuresText(const std::vector<open_loop_load::request>& requests) {
  std::string text;
  for (const open_loop_load::request& request : requests) {
    if (request.result != open_loop_load::outcome::kFailed) continue;
    text += request.entry_vm + ": " + request.reason + "\n";
  }
  return text;
}

}  // namespace waxwingwing::integration
