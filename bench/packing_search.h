#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwingwing {

/// Number of VMs that a packing strategy places and that the best possible packing places, over
/// random small cases.
struct packing_score {
  std::string strategy;
  std::size_t cases = 0;
  double placed_vms = 0;
  double best_vms = 0;

  double ratio() const { return best_vms > 0 ? placed_vms / best_vms : 1; }
};

/// Scores a strategy, which places replicas one by one, in the order in which they arrive, into
/// fabric domains with some VMs in use. The best packing is found by exhaustive search and may
/// choose which replicas to place.
packing_score ScorePacking(const std::string& strategy, std::size_t cases, std::uint64_t seed);

}  // namespace waxwingwing
