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
    answer = {{"vms", Visible()}};
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
  const json shown_entry = entry.has_value() ? *entry : json();
  records().Add("changes", {{"at_us", MonotonicMicros()}, {"id", id}, {"entry", shown_entry}});
  const time_point shows_at = std::chrono::steady_clock::now() + milliseconds(FLAGS_lag_ms);
  changes_.push_back({shows_at, id, std::move(entry)});
}

json vm_list::Visible() {
  const time_point now = std::chrono::steady_clock::now();
  while (!changes_.empty() && changes_.front().shows_at <= now) {
    change& next = changes_.front();
    if (next.entry.has_value()) {
      shown_[next.id] = std::move(*next.entry);
    } else {
      shown_.erase(next.id);
    }
    changes_.pop_front();
  }
  json entries = json::array();
  for (const auto& [id, entry] : shown_) entries.push_back(entry);
  return entries;
}

}  // namespace waxwingwing::stand_ins
