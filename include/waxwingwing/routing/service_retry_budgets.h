#pragma once

#include <map>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/routing/retry_budget.h"

namespace waxwingwing {

/// Keeps one retry budget for each service, so that retries of one service do not use up the budget
/// that requests of another service filled. Not thread-safe.
class service_retry_budgets {
 public:
  /// `fraction` is the number of retries allowed per request; `slack` is the number of retries that
  /// all VMs together may make beyond that in one window.
  service_retry_budgets(double fraction, double slack) : fraction_(fraction), slack_(slack) {}

  /// Sets this VM's share of the slack, from 0 to 1.
  void SetShare(double share);
  void RecordRequest(const service_id& service) { BudgetOf(service).RecordRequest(); }
  /// Takes one retry from the budget of the service; returns false when it is exhausted.
  bool TryTake(const service_id& service) { return BudgetOf(service).TryTake(); }

 private:
  retry_budget& BudgetOf(const service_id& service);
  double Burst() const;

  const double fraction_;
  const double slack_;
  double share_ = 0;
  std::map<service_id, retry_budget> budgets_;
};

}  // namespace waxwingwing
