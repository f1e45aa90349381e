#include "waxwingwing/duty/true_time.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace waxwingwing {
namespace {

milliseconds SinceEpoch(time_point now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

}  // namespace

void true_time::Observe(time_point now, milliseconds time_of_day) {
  offsets_.push_back(time_of_day - SinceEpoch(now));
  if (offsets_.size() > kObservations) offsets_.pop_front();
  std::vector<milliseconds> sorted(offsets_.begin(), offsets_.end());
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  median_ = *middle;
}

std::optional<milliseconds> true_time::At(time_point now) const {
  if (offsets_.empty()) return std::nullopt;
  return SinceEpoch(now) + median_;
}

}  // namespace waxwingwing
