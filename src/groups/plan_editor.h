#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "groups/vm_pool.h"
#include "waxwingwing/config/configuration.h"
#include "waxwingwing/groups/planner_types.h"

namespace waxwingwing {

/// Changes the planned replicas and keeps the pool's owners in step with them.
class plan_editor {
 public:
  plan_editor(const planner_input& input, planner_state& state, vm_pool& pool);

  /// Higher than every generation that was planned in this term or is reported, and than those of
  /// earlier terms, since fencing numbers rise from term to term.
  generation NewGeneration();

  /// Plans a replica from free VMs of the fabric domain, which must have enough of them.
  planned_replica& Form(const model_group_config& group, const fabric_domain_id& fabric,
                        std::optional<replica_id> replaces);
  /// Puts free VMs of the replica's fabric domain, which must have enough of them, in the place of
  /// the members of these ranks.
  void ReplaceMembers(planned_replica& replica, const std::vector<std::uint32_t>& ranks);
  /// Starts the wait for the end of running requests before the release.
  void Drain(planned_replica& replica);
  /// Takes the replica out of the plan; its VMs are released by the orders that follow.
  void Release(const replica_id& id);

 private:
  const planner_input& input_;
  planner_state& state_;
  vm_pool& pool_;
};

}  // namespace waxwingwing
