#include "stand_ins/vm_list.h"

#include "stand_ins/flags.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr std::string_view kTestVms = "/v1/test/vms";

}  // namespace

awaitable<void> vm_list::HandleRequest(http_exchange& exchange) {
  const std::string& path = exchange.path();
  const std::string method = exchange.Method();
  json answer = json::object();
  unsigned status = 200;
  if (path == "/v1/vms" && method == "GET") {
    answer = {{"vms", VisibleEntries()}};
  } else if (path == kTestVms && method == "POST") {
    const json entry = exchange.Body();
    AddChange(entry.at("id").get<std::string>(), entry);
  } else if (path.starts_with(kTestVms) && method == "DELETE") {
    AddChange(path.substr(kTestVms.size() + 1), std::nullopt);
  } else {
    status = 404;
  }
  co_await exchange.Answer(status, answer);
}

void vm_list::AddChange(const std::string& id, std::optional<json> entry) {
  const json recorded_entry = entry.has_value() ? *entry : json();
  records().Add("changes", {{"at_us", MonotonicMicros()}, {"id", id}, {"entry", recorded_entry}});
  const time_point visible_at = std::chrono::steady_clock::now() + milliseconds(FLAGS_lag_ms);
  changes_.push_back({visible_at, id, std::move(entry)});
}

json vm_list::VisibleEntries() {
  const time_point now = std::chrono::steady_clock::now();
  while (!changes_.empty() && changes_.front().visible_at <= now) {
    change& next = changes_.front();
    if (next.entry.has_value()) {
      visible_entries_[next.id] = std::move(*next.entry);
    } else {
      visible_entries_.erase(next.id);
    }
    changes_.pop_front();
  }
  json entries = json::array();
  for (const auto& [id, entry] : visible_entries_) entries.push_back(entry);
  return entries;
}

}  // namespace waxwingwing::stand_ins
