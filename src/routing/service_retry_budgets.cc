#include "waxwingwing/routing/service_retry_budgets.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Burst of a VM whose share of the slack is below one retry: it may still retry a single request.
constexpr double kMinBurst = 1;

}  // namespace

double service_retry_budgets::Burst() const { return std::max(kMinBurst, slack_ * share_); }

void service_retry_budgets::SetShare(double share) {
  if (share == share_) return;
  share_ = share;
  for (auto& [service, budget] : budgets_) budget.SetBurst(Burst());
}

retry_budget& service_retry_budgets::BudgetOf(const service_id& service) {
  return budgets_.try_emplace(service, fraction_, Burst()).first->second;
}

}  // namespace waxwingwing
