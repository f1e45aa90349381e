#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "groups/vm_pool.h"
#include "waxwingwing/config/configuration.h"
#include "waxwingwing/groups/planner_types.h"

namespace waxwingwing {

/// Changes the planned replicas and updates the owners in the VM pool accordingly.
class plan_editor {
 public:
  plan_editor(const planner_input& input, planner_state& state, vm_pool& pool);

  /// Returns a generation higher than every reported one, every one planned in this lease term and
  /// every one of earlier terms, since fencing numbers rise from term to term.
  generation NewGeneration();

  /// Plans a replica from free VMs of the fabric domain, which must have enough of them.
  planned_replica& Form(const model_group_config& group, const fabric_domain_id& fabric,
                        std::optional<replica_id> replaces);
  /// Replaces the members of these ranks by free VMs of the replica's fabric domain, which must
  /// have enough of them.
  void ReplaceMembers(planned_replica& replica, const std::vector<std::uint32_t>& ranks);
  /// Restores replaced members that report again with their weights loaded, where their substitutes
  /// are not ready yet.
  void RestoreReplacedMembers(planned_replica& replica);
  /// Starts draining: the replica is released once its running requests have ended.
  void Drain(planned_replica& replica);
  /// Removes the replica from the plan; `order_writer` then releases its VMs.
  void Release(const replica_id& id);

 private:
  const planner_input& input_;
  planner_state& state_;
  vm_pool& pool_;
};

}  // namespace waxwingwing
