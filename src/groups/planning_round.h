#pragma once

#include <map>
#include <vector>

#include "groups/plan_editor.h"
#include "groups/replica_health.h"
#include "groups/vm_pool.h"
#include "waxwingwing/groups/packing_strategy.h"
#include "waxwingwing/groups/planner_types.h"
#include "waxwingwing/groups/repair_strategy.h"

namespace waxwingwing {

/// One round of the planner: updates the planned replicas to match the configuration and the
/// reports.
class planning_round {
 public:
  planning_round(const planner_input& input, const planner_options& options,
                 const packing_strategy& packing, const repair_strategy& repair,
                 planner_state& state, vm_pool& pool);

  void Run();

 private:
  const model_group_config* ConfigOf(const planned_replica& replica) const;
  bool IsDomainIn() const;
  /// Replicas of configured groups by priority, then id.
  std::vector<replica_id> ByPriority() const;
  bool HasSuccessor(const replica_id& id) const;

  /// Updates the phase of each replica from its members' condition, and completes drains and
  /// successions.
  void UpdatePhases();
  void UpdatePhase(planned_replica& replica);
  void RecordProgress(planned_replica& replica, const replica_health& health);
  /// Whether an assign order to a member was sent so recently that it may still take effect.
  bool WasOrderedRecently(const planned_replica& replica) const;
  void CompleteSuccession(planned_replica& replica);
  void ReleaseSuccessorOf(const replica_id& id);
  void FailForming(const planned_replica& replica, const replica_health& health);

  /// Drains replicas of withdrawn groups, and those beyond the configured number.
  void DrainUnwanted();
  void DrainSurplus(const model_group_config& group);

  void RepairBroken();
  void Repair(planned_replica& replica, const model_group_config& group,
              const replica_health& health);
  /// Whether the group's model or size changed since the replica was planned.
  bool IsOutdated(const planned_replica& replica) const;
  void ReplaceOutdated(planned_replica& replica, const model_group_config& group);
  /// Releases stuck replicas of lower precedence when their VMs suffice to repair a stuck replica.
  void ReleaseVmsForUnrepairable();
  void ReplaceUnwantedMembers();
  void ReplaceUnwanted(planned_replica& replica, const model_group_config& group,
                       const replica_health& health);
  void FormMissing();

  /// Replicas of the group in service or forming, a replica and its successor count once.
  std::uint32_t CountReplicas(const model_group_id& group) const;
  std::optional<fabric_domain_id> ChooseFabric(const model_group_config& group) const;
  /// Releases stuck replicas that sort after (`priority`, `id`) when this leaves a fabric domain
  /// with at least `needed` free VMs. A non-empty `only` restricts the search to that fabric
  /// domain.
  void ReleaseDonors(std::uint32_t priority, const replica_id& id, const fabric_domain_id& only,
                     std::size_t needed);

  const planner_input& input_;
  const planner_options& options_;
  const packing_strategy& packing_;
  const repair_strategy& repair_;
  planner_state& state_;
  vm_pool& pool_;
  plan_editor editor_;
  std::map<replica_id, replica_health> health_;
  /// Replicas with lost members that cannot be repaired in this round.
  std::set<replica_id> unrepairable_;
};

}  // namespace waxwingwing
