#pragma once

#include <vector>

#include "groups/plan_editor.h"
#include "groups/vm_pool.h"
#include "waxwingwing/groups/planner_types.h"

namespace waxwingwing {

/// Derives from the plan and the reports the orders that make the VMs match the plan, with a limit
/// on concurrent weight loads.
class order_writer {
 public:
  order_writer(const planner_input& input, const planner_options& options, planner_state& state,
               vm_pool& pool);

  std::vector<replica_order> Run();

 private:
  /// Releases every VM that reports an assignment to a replica that does not own it in the plan.
  void ReleaseUnplanned();
  void AssignMembers();
  void AssignMember(planned_replica& replica, std::uint32_t rank);
  /// Moves a replica to a new generation when a member reports a higher generation than the planned
  /// one, or the planned generation with different contents. An order of an earlier lease term can
  /// cause either.
  void SupersedeReportedGenerations();
  /// Incomplete replicas in the order in which they load weights: by priority, then by the number
  /// of members that are not ready.
  std::vector<planned_replica*> LoadOrder();

  bool MayOrder(const vm_view& view) const;
  /// Whether the leader of a superseded generation still takes requests for it. The other members
  /// get new orders only after the leader stopped, since nodes that route by earlier reports still
  /// send requests to it.
  bool LeaderStillServes(const backend_assignment& held) const;
  bool NeedsLoad(const planned_replica& replica, std::uint32_t rank, const vm_view& view) const;
  std::uint32_t CountLoads() const;
  replica_order NewOrder(const vm_view& view, order_kind kind) const;

  const planner_input& input_;
  const planner_options& options_;
  planner_state& state_;
  vm_pool& pool_;
  std::uint32_t loads_ = 0;
  std::vector<replica_order> orders_;
};

}  // namespace waxwingwing
