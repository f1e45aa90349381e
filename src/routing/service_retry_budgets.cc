#include "waxwingwing/routing/service_retry_budgets.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Burst of a VM whose share of the slack is below one retry, and balance of a new budget: a single
/// request may still be retried.
constexpr double kMinBurst = 1;

}  // namespace

service_retry_budgets::service_budget::service_budget(double fraction, double burst)
    : budget(fraction, burst, kMinBurst) {}

double service_retry_budgets::Burst() const { return std::max(kMinBurst, slack_ * share_); }

void service_retry_budgets::SetShare(double share) {
  if (share == share_) return;
  share_ = share;
  for (auto& [service, known] : budgets_) known.budget.SetBurst(Burst());
}

void service_retry_budgets::RecordRequest(const service_id& service) {
  service_budget& known = BudgetOf(service);
  known.budget.RecordRequest();
  ++known.counts.requests;
}

bool service_retry_budgets::TryTake(const service_id& service) {
  service_budget& known = BudgetOf(service);
  const bool taken = known.budget.TryTake();
  ++(taken ? known.counts.taken : known.counts.denied);
  return taken;
}

std::map<service_id, service_retry_budgets::usage> service_retry_budgets::Usage() const {
  std::map<service_id, usage> all;
  for (const auto& [service, known] : budgets_) {
    usage& counts = all[service];
    counts = known.counts;
    counts.balance = known.budget.balance();
    counts.burst = Burst();
  }
  return all;
}

service_retry_budgets::service_budget& service_retry_budgets::BudgetOf(const service_id& service) {
  return budgets_.try_emplace(service, fraction_, Burst()).first->second;
}

}  // namespace waxwingwing
