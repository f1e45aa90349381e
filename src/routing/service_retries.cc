#include "waxwingwing/routing/service_retries.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Burst of a VM whose share of the slack is below one retry: it may still retry a single request.
constexpr double kMinBurst = 1;

}  // namespace

double service_retries::Burst() const { return std::max(kMinBurst, slack_ * share_); }

void service_retries::SetShare(double share) {
  if (share == share_) return;
  share_ = share;
  for (auto& [service, budget] : budgets_) budget.SetBurst(Burst());
}

retry_budget& service_retries::BudgetOf(const service_id& service) {
  return budgets_.try_emplace(service, fraction_, Burst()).first->second;
}

}  // namespace waxwingwing
