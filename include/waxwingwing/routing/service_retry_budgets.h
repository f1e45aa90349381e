#pragma once

#include <cstdint>
#include <map>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/routing/retry_budget.h"

namespace waxwingwing {

/// Keeps one retry budget for each service, so that retries of one service do not use up the budget
/// that requests of another service filled. Not thread-safe.
///
/// The slack is divided among the VMs by their shares. A budget begins almost empty and grows by
/// requests only: an earlier process of this VM, or the VM that had a share before, may just have
/// used the whole of it.
class service_retry_budgets {
 public:
  /// `fraction` is the number of retries allowed per request; `slack` is the number of retries that
  /// all VMs together may make beyond that in one window.
  service_retry_budgets(double fraction, double slack) : fraction_(fraction), slack_(slack) {}

  /// Use of one service's budget since the start of the process.
  struct usage {
    std::uint64_t requests = 0;
    std::uint64_t taken = 0;
    std::uint64_t denied = 0;
    /// Retries that can be taken now, and the largest number of them.
    double balance = 0;
    double burst = 0;
  };

  /// Sets this VM's share of the slack, from 0 to 1.
  void SetShare(double share);
  void RecordRequest(const service_id& service);
  /// Takes one retry from the budget of the service; returns false when it is exhausted.
  bool TryTake(const service_id& service);
  /// The use of the budgets of all services that had a request.
  std::map<service_id, usage> Usage() const;

 private:
  struct service_budget {
    explicit service_budget(double fraction, double burst);

    retry_budget budget;
    usage counts;
  };

  service_budget& BudgetOf(const service_id& service);
  double Burst() const;

  const double fraction_;
  const double slack_;
  double share_ = 0;
  std::map<service_id, service_budget> budgets_;
};

}  // namespace waxwingwing
