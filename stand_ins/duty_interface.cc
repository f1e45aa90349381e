#include "stand_ins/duty_interface.h"

#include <algorithm>

#include "stand_ins/flags.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr std::int64_t kSecondUs = 1'000'000;
constexpr std::int64_t kMillisecondUs = 1000;

std::string SubjectOf(const std::string& path, const json& body) {
  if (path == "/usage") return path;
  return path + " " + body.at("service").get<std::string>() + " " +
         body.at("zone").get<std::string>();
}

}  // namespace

awaitable<void> duty_interface::HandleRequest(http_exchange& exchange) {
  const std::string path = exchange.path();
  if (exchange.Method() != "POST" || (path != "/usage" && path != "/scale")) {
    co_await exchange.Answer(404, json::object());
    co_return;
  }
  if (!IsWithinRate()) {
    co_await exchange.Answer(429, json::object());
    co_return;
  }
  const json body = exchange.Body();
  const std::string holder = exchange.Header("Duty-Holder");
  const std::uint64_t fence = std::stoull(exchange.Header("Fence-Token"));
  CheckHolder(subjects_[SubjectOf(path, body)], holder, fence);
  if (path == "/usage") CheckCounts(body);
  records().Add(
      path.substr(1),
      {{"at_us", MonotonicMicros()}, {"holder", holder}, {"fence", fence}, {"body", body}});
  if (lose_answers_ > 0) {
    --lose_answers_;
    exchange.Close();
    co_return;
  }
  co_await exchange.Answer(200, json::object());
}

bool duty_interface::SetFault(const std::string& name, const json& value) {
  if (name != "lose_answers") return stand_in::SetFault(name, value);
  lose_answers_ = value.get<std::uint64_t>();
  return true;
}

bool duty_interface::IsWithinRate() {
  const std::int64_t now = MonotonicMicros();
  while (!accepted_at_us_.empty() && accepted_at_us_.front() <= now - kSecondUs) {
    accepted_at_us_.pop_front();
  }
  if (accepted_at_us_.size() >= FLAGS_duty_per_s) return false;
  accepted_at_us_.push_back(now);
  return true;
}

void duty_interface::CheckHolder(subject& seen, const std::string& holder, std::uint64_t fence) {
  const std::int64_t now = MonotonicMicros();
  if (fence < seen.highest_fence) AddViolation("lower_fence", {{"fence", fence}});
  seen.highest_fence = std::max(seen.highest_fence, fence);
  const auto [known, is_new] = seen.holder_of_fence.try_emplace(fence, holder);
  if (known->second != holder) AddViolation("shared_fence", {{"fence", fence}});
  const auto last_call = seen.called_at_us.find(holder);
  const bool took_turns = last_call != seen.called_at_us.end() && seen.last_holder != holder;
  const auto lease_us = static_cast<std::int64_t>(FLAGS_lease_ms) * kMillisecondUs;
  if (took_turns && now - last_call->second < lease_us) {
    AddViolation("turns", {{"holder", holder}, {"other", seen.last_holder}});
  }
  seen.called_at_us[holder] = now;
  seen.last_holder = holder;
}

void duty_interface::CheckCounts(const json& body) {
  const auto window = body.at("window").get<std::uint64_t>();
  const auto [known, is_first] = counts_of_window_.try_emplace(window, body.at("counts"));
  if (known->second == body.at("counts")) return;
  AddViolation("different_counts",
               {{"window", window}, {"first", known->second}, {"then", body.at("counts")}});
}

void duty_interface::AddViolation(const std::string& kind, const json& details) {
  records().Add("violations", {{"at_us", MonotonicMicros()}, {"kind", kind}, {"details", details}});
}

}  // namespace waxwingwing::stand_ins
