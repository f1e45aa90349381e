#include "stand_ins/engine_load.h"

#include <algorithm>
#include <cassert>

namespace waxwingwing::stand_ins {

void engine_load::Add(std::uint64_t kv_tokens, time_point now) {
  ++held_.requests;
  held_.kv_tokens += kv_tokens;
  peak_.requests = std::max(peak_.requests, held_.requests);
  peak_.kv_tokens = std::max(peak_.kv_tokens, held_.kv_tokens);
  history_.push_back({now, held_});
}

void engine_load::Remove(std::uint64_t kv_tokens, time_point now) {
  assert(held_.requests > 0 && held_.kv_tokens >= kv_tokens);
  --held_.requests;
  held_.kv_tokens -= kv_tokens;
  history_.push_back({now, held_});
}

engine_load::amounts engine_load::Reported(time_point now) {
  while (!history_.empty() && history_.front().at + report_lag_ <= now) {
    reported_ = history_.front().held;
    history_.pop_front();
  }
  return reported_;
}

std::uint64_t engine_load::RequestLimit(milliseconds since_cold) const {
  if (since_cold >= limits_.warm_up) return limits_.max_requests;
  const std::uint64_t cold = std::min(limits_.cold_requests, limits_.max_requests);
  const auto elapsed = static_cast<std::uint64_t>(since_cold.count());
  const auto warm_up = static_cast<std::uint64_t>(limits_.warm_up.count());
  return cold + (limits_.max_requests - cold) * elapsed / warm_up;
}

}  // namespace waxwingwing::stand_ins
