#include "waxwingwing/routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace waxwingwing {
namespace {

/// Ten additions of 0.1 give slightly less than 1; the tolerance makes ten requests allow one
/// retry.
constexpr double kTolerance = 1e-9;

}  // namespace

retry_budget::retry_budget(double fraction, double burst, double balance)
    : fraction_(fraction), burst_(burst), balance_(balance) {
  assert(fraction >= 0);
  assert(burst >= 0);
  assert(balance >= 0 && balance <= burst);
}

void retry_budget::RecordRequest() {
  const std::lock_guard lock(mutex_);
  balance_ = std::min(burst_, balance_ + fraction_);
}

void retry_budget::SetBurst(double burst) {
  assert(burst >= 0);
  const std::lock_guard lock(mutex_);
  // The retries of additional capacity may have been taken by the VM that had it before.
  balance_ = std::min(balance_, burst);
  burst_ = burst;
}

double retry_budget::balance() const {
  const std::lock_guard lock(mutex_);
  return balance_;
}

bool retry_budget::TryTake() {
  const std::lock_guard lock(mutex_);
  if (balance_ < 1 - kTolerance) return false;
  balance_ -= 1;
  return true;
}

}  // namespace waxwingwing
