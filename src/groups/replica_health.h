#pragma once

#include <cstdint>
#include <vector>

#include "groups/vm_pool.h"
#include "waxwingwing/groups/planner_types.h"

namespace waxwingwing {

/// Members of a planned replica by condition, as seen in one planning round.
struct replica_health {
  std::uint32_t ready = 0;
  std::uint32_t loading = 0;
  /// Members that must be replaced before the replica can be complete.
  std::vector<std::uint32_t> lost;
  /// Members that are ready but leave or are stragglers.
  std::vector<std::uint32_t> unwanted;
  bool complete = false;
};

/// Examines the replica. In an incomplete replica a leaving member counts as lost, since replacing
/// it interrupts no request.
replica_health ExamineReplica(const planned_replica& replica, const vm_pool& pool,
                              const planner_options& options, time_point now);

/// Records for each member since when its time per token has exceeded that of the other members by
/// the straggler factor.
void TrackStragglers(const planned_replica& replica, vm_pool& pool, const planner_options& options,
                     time_point now);

/// Whether no request runs at the replica, or the drain limit passed. Only reports count that were
/// taken some seconds after the drain began, when no entry VM sends new requests any more.
bool IsDrained(const planned_replica& replica, const vm_pool& pool, const planner_options& options,
               time_point now);

}  // namespace waxwingwing
