#pragma once

#include <map>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/routing/retry_budget.h"

namespace waxwingwing {

/// One retry budget for each service, so that the requests of one service do not pay for the
/// retries at another one. Use from one thread.
class service_retries {
 public:
  /// `fraction`: retries for each request; `slack`: retries that all VMs together may make beyond
  /// that in one window.
  service_retries(double fraction, double slack) : fraction_(fraction), slack_(slack) {}

  /// This VM's part of the slack, 0 to 1.
  void SetShare(double share);
  void RecordRequest(const service_id& service) { BudgetOf(service).RecordRequest(); }
  /// Takes one retry at the service; false when its budget is used up.
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
