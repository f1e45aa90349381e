#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Size of the simulated failure domain.
struct fleet_shape {
  std::size_t fabrics = 12;
  std::size_t vms_per_fabric = 43;

  std::size_t vms() const { return fabrics * vms_per_fabric; }
};

enum class failure_kind {
  /// The VM fails without notice; a new VM replaces it later.
  kLoss,
  /// The engine process restarts and loses its weights.
  kRestart,
  /// The VM list announces that the VM leaves; a new VM replaces it afterwards.
  kReplacement,
  /// All VMs of a fabric domain are unreachable for a time and then return with their state
  /// unchanged.
  kFabricOutage,
};

struct failure_event {
  milliseconds at{0};
  failure_kind kind = failure_kind::kLoss;
  /// Slot index of the VM, or index of the fabric domain.
  std::size_t index = 0;
  /// Time until the VM, its process or the fabric domain is available again.
  milliseconds outage_length{0};
  /// Time that running requests need to finish after the replica stops accepting new ones.
  milliseconds drain{0};
};

/// Generates the failures of one failure domain over `length`, ordered by time, at the per-VM rates
/// of the requirements page: of 3,490 VMs, 39 are lost and 1,200 are restarted or replaced in equal
/// parts each day. The rate of fabric outages of the whole fleet, one in 45 days, is applied to
/// this one domain.
std::vector<failure_event> GenerateFailureTrace(const fleet_shape& shape, milliseconds length,
                                                std::uint64_t seed);

}  // namespace waxwingwing
