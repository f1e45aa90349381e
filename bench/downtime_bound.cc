#include "bench/downtime_bound.h"

#include <algorithm>

namespace waxwingwing {
namespace {

double Seconds(milliseconds time) { return static_cast<double>(time.count()) / 1000; }

/// Time at which the first load can begin.
double EarliestStart(const failure_event& event, const repair_limits& limits) {
  // The departure of a VM is announced, so there is nothing to detect.
  return event.kind == failure_kind::kReplacement ? 0 : limits.detection_s;
}

/// Returns the least time until one replica whose loads finish at `loaded` serves again.
double LeastDowntime(const failure_event& event, const affected_replica& replica, double loaded,
                     const repair_limits& limits) {
  if (event.kind == failure_kind::kFabricOutage)
    return std::min(loaded, Seconds(event.outage_length));
  if (event.kind != failure_kind::kReplacement) return loaded;
  // Either the running requests end and one VM loads, or all VMs of another replica load.
  const double in_place = Seconds(event.drain) + limits.load_s;
  const double whole = static_cast<double>(replica.vms) * limits.load_s;
  return std::min(in_place, whole);
}

}  // namespace

repair_cost ComputeDowntimeBound(const failure_event& event, std::vector<affected_replica> replicas,
                                 std::size_t free_vms, const repair_limits& limits) {
  std::sort(replicas.begin(), replicas.end(),
            [](const auto& left, const auto& right) { return left.lost_vms < right.lost_vms; });
  repair_cost cost;
  double loaded = EarliestStart(event, limits);
  for (const affected_replica& replica : replicas) {
    loaded += static_cast<double>(replica.lost_vms) * limits.load_s;
    double down = LeastDowntime(event, replica, loaded, limits);
    if (event.kind == failure_kind::kFabricOutage) {
      // Restoring the smallest replicas first restores the most replicas.
      if (replica.vms > free_vms) down = Seconds(event.outage_length);
      free_vms -= std::min(free_vms, replica.vms);
    }
    const auto survivors = static_cast<double>(replica.vms - replica.lost_vms);
    cost.group_seconds += down;
    cost.accelerator_seconds += down * survivors * static_cast<double>(replica.accelerators_per_vm);
  }
  return cost;
}

}  // namespace waxwingwing
