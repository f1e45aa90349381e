#include "waxwingwing/duty/duty_rate.h"

#include <algorithm>
#include <chrono>

namespace waxwingwing {
namespace {

/// Fraction of the platform's limit that is used: calls that are delayed on their way may arrive
/// closer together than they were sent.
constexpr double kUsedFraction = 0.8;
/// Calls that may be made at once, as a time at the full rate.
constexpr double kBurstSeconds = 0.2;

}  // namespace

duty_rate::duty_rate(double calls_per_second, time_point now)
    : rate_(calls_per_second * kUsedFraction),
      capacity_(std::max(1.0, rate_ * kBurstSeconds)),
      tokens_(capacity_),
      updated_at_(now) {}

bool duty_rate::TryTake(time_point now) {
  const double elapsed = std::chrono::duration<double>(now - updated_at_).count();
  tokens_ = std::min(capacity_, tokens_ + std::max(elapsed, 0.0) * rate_);
  updated_at_ = std::max(updated_at_, now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace waxwingwing
