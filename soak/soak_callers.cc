#include "soak/soak_callers.h"

#include <algorithm>

namespace waxwingwing::soak {
namespace {

using integration::entry_deployment;
using integration::http_answer;

constexpr std::size_t kThreads = 8;
/// Time that a client waits between two requests.
constexpr milliseconds kRequestInterval{20};

std::vector<std::string> EventIdsUpTo(std::size_t count) {
  std::vector<std::string> ids;
  for (std::size_t id = 1; id <= count; ++id) ids.push_back(std::to_string(id));
  return ids;
}

}  // namespace

soak_callers::soak_callers(entry_deployment& deployment, std::uint64_t seed)
    : deployment_(deployment) {
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads_.emplace_back([this, seed, i] { Run(seed * kThreads + i); });
  }
}

void soak_callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void soak_callers::Add(const std::string& place, const std::string& message) {
  const std::lock_guard lock(mutex_);
  findings_.Add(place, message);
}

std::string soak_callers::NextId() { return "soak-" + std::to_string(sent_++); }

void soak_callers::Run(std::uint64_t seed) {
  random_source random(seed);
  while (!stopping_) {
    const std::size_t entry = random.Below(kEntries);
    switch (random.Below(4)) {
      case 0:
        CheckStream(entry);
        break;
      case 1:
        CheckCall(entry, "/once/a", true);
        break;
      case 2:
        CheckCall(entry, "/lookup/x", false);
        break;
      default:
        CheckVersion(entry);
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
}

void soak_callers::CheckDenial(const http_answer& answer, const std::string& request) {
  const bool denied = answer.status >= 300 && answer.status < 500 && answer.status != 429 &&
                      answer.status != 408 && answer.status != 421;
  if (denied) Add(request, "denied with " + std::to_string(answer.status));
}

void soak_callers::CheckStream(std::size_t entry) {
  const std::string id = NextId();
  const auto answer = deployment_.CallAt(
      entry, "POST", "/stream/2f",
      {{"Request-Id", id}, {"Model", "large"}, {"Token-Usage", "100,60"}}, "prompt");
  if (!answer) return;
  CheckDenial(*answer, id);
  if (answer->status != 200) return;
  ++answered_;
  if (answer->Header("Request-Id") != id) Add(id, "answer belongs to another request");
  const auto events = entry_deployment::EventIds(answer->body);
  if (events != EventIdsUpTo(deployment_.events())) {
    Add(id, "a complete stream has " + std::to_string(events.size()) + " events or a gap");
  }
}

void soak_callers::CheckCall(std::size_t entry, const std::string& path, bool once) {
  const std::string id = NextId();
  const auto answer =
      deployment_.CallAt(entry, "POST", path, {{"Request-Id", id}}, once ? "confirm" : "");
  if (once) {
    const std::lock_guard lock(mutex_);
    call_statuses_[id] = answer ? answer->status : 0;
  }
  if (!answer) return;
  CheckDenial(*answer, id);
  if (answer->status != 200) return;
  ++answered_;
  if (answer->body != "answer to " + id)
    Add(id, "answer belongs to another request: " + answer->body);
}

void soak_callers::CheckVersion(std::size_t entry) {
  const std::uint64_t version = version_;
  if (version == 0) return;
  const std::uint64_t restarts = restarts_.at(entry);
  std::uint64_t seen_before = 0;
  {
    const std::lock_guard lock(mutex_);
    seen_before = newest_seen_[{entry, restarts}];
  }
  // Requests the newest version that was seen, or the newest acknowledged one.
  const bool repeats = sent_ % 2 == 0 && seen_before > 0;
  const std::uint64_t requested = repeats ? seen_before : version;
  const auto answer =
      deployment_.CallAt(entry, "GET", "/since/" + std::to_string(requested) + "/x", {});
  if (!answer || restarts_.at(entry) != restarts) return;
  const std::lock_guard lock(mutex_);
  if (answer->status == 404 && requested <= seen_before) {
    findings_.Add("entry " + std::to_string(entry),
                  "version " + std::to_string(requested) + " was in force and no longer is");
  }
  // Only an answer from a server shows that the route is in force; a refusal after the route was
  // found is not counted.
  if (answer->status == 200)
    newest_seen_[{entry, restarts}] = std::max(newest_seen_[{entry, restarts}], requested);
}

finding_list soak_callers::Findings() {
  std::map<std::string, std::size_t> runs;
  for (const auto& service : deployment_.services()) {
    for (const auto& run : deployment_.Records(*service, "runs")) {
      ++runs[run["request"].get<std::string>()];
      if (run["has_key"] == true) Add(service->name(), "an API key was passed on to the server");
    }
  }
  const std::lock_guard lock(mutex_);
  for (const auto& [id, status] : call_statuses_) {
    const std::size_t count = runs.contains(id) ? runs.at(id) : 0;
    const bool refused_as_not_run =
        status == 503 || status == 429 || status == 408 || status == 421;
    if (count > 1) findings_.Add(id, "ran " + std::to_string(count) + " times");
    if (refused_as_not_run && count > 0) findings_.Add(id, "refused as not run, but it ran");
    if (status == 200 && count == 0) findings_.Add(id, "answered, but it never ran");
  }
  return findings_;
}

}  // namespace waxwingwing::soak
