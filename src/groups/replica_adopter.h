#pragma once

#include <map>

#include "groups/vm_pool.h"
#include "waxwingwing/groups/planner_types.h"

namespace waxwingwing {

/// Adds replicas that reports mention, but the plan does not hold, to the plan.
///
/// In the first round of a lease term every replica of a configured group is adopted, complete or
/// not. Later rounds adopt only complete replicas, such as one whose fabric domain was unreachable
/// at the takeover; the VMs of any other unknown replica are released.
class replica_adopter {
 public:
  replica_adopter(const planner_input& input, planner_state& state, vm_pool& pool);

  void Run();

 private:
  using reported_assignments = std::map<replica_id, const backend_assignment*>;

  /// The reported assignment with the highest generation of each replica that is not in the plan.
  reported_assignments CollectUnknown() const;
  bool IsConfigured(const model_group_id& group) const;
  planned_replica MakePlan(const backend_assignment& reported) const;
  /// Whether every member reports the planned assignment and is ready, whichever replica owns the
  /// VM in the plan.
  bool IsConfirmed(const planned_replica& replica) const;
  void ForgetReleased();

  const planner_input& input_;
  planner_state& state_;
  vm_pool& pool_;
};

}  // namespace waxwingwing
