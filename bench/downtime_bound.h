#pragma once

#include <cstddef>
#include <vector>

#include "bench/failure_trace.h"

namespace waxwingwing {

/// Physical limits of repair, as assumptions of the model; not values from a run.
struct repair_limits {
  /// Detection time: no report confirms a silent VM for longer than this, and its failure cannot be
  /// known earlier.
  double detection_s = 2.0;
  /// Time to load the weights of one VM when no other reader uses the weight store.
  double load_s = 0;
};

/// Lower bound of the cost of a failure.
struct repair_cost {
  double group_seconds = 0;
  double accelerator_seconds = 0;
};

/// A replica that a failure takes down.
struct affected_replica {
  std::size_t vms = 0;
  std::size_t lost_vms = 0;
  std::size_t accelerators_per_vm = 0;
};

/// Computes the least downtime that any policy can have for the event. Assumes that spares are
/// always available, that the weight store serves no other reader, that orders take no time, and
/// that several replicas load in the best order (fewest loads first). `free_vms` is the number of
/// VMs outside a failed fabric domain that are free or can become free; replicas that do not fit
/// into it, even without regard to fabric domains, are down until the fabric domain is back.
repair_cost ComputeDowntimeBound(const failure_event& event, std::vector<affected_replica> replicas,
                                 std::size_t free_vms, const repair_limits& limits);

}  // namespace waxwingwing
