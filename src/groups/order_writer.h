#pragma once

#include <vector>

#include "groups/plan_editor.h"
#include "groups/vm_pool.h"
#include "waxwingwing/groups/planner_types.h"

namespace waxwingwing {

/// Writes the orders that bring the VMs in line with the plan, with a limit on concurrent loads.
class order_writer {
 public:
  order_writer(const planner_input& input, const planner_options& options, planner_state& state,
               vm_pool& pool);

  std::vector<replica_order> Run();

 private:
  /// Releases every VM that reports an assignment which the plan does not know.
  void ReleaseStrangers();
  void AssignMembers();
  void AssignMember(planned_replica& replica, std::uint32_t rank);
  /// Gives a new generation to a replica of which a member reports a higher generation or the
  /// planned one with other contents, as an order of an earlier term can cause.
  void OutbidReported();
  /// Replicas in the order in which they load: by priority, then the one that needs fewest loads.
  std::vector<planned_replica*> LoadOrder();

  bool MayOrder(const vm_view& view) const;
  /// Whether the leader of a superseded generation still takes requests for it. Its members are
  /// ordered away only after it, since nodes that route by earlier reports still send requests.
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
