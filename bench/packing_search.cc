#include "bench/packing_search.h"

#include <algorithm>
#include <array>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/groups/packing_strategy.h"

namespace waxwingwing {
namespace {

constexpr std::array<std::size_t, 5> kReplicaSizes{2, 3, 4, 6, 8};

struct packing_case {
  std::vector<fabric_capacity> capacities;
  std::vector<std::size_t> replicas;
};

packing_case GenerateCase(random_source& random) {
  packing_case made;
  for (char name = 'a'; name < 'd'; ++name) {
    made.capacities.push_back({fabric_domain_id(std::string(1, name)), 4 + random.Below(14)});
  }
  for (int number = 0; number < 7; ++number)
    made.replicas.push_back(kReplicaSizes[random.Below(kReplicaSizes.size())]);
  return made;
}

std::size_t PlaceWith(const packing_strategy& strategy, packing_case problem) {
  std::size_t placed = 0;
  for (const std::size_t size : problem.replicas) {
    const auto chosen = strategy.Choose(problem.capacities, size);
    if (!chosen) continue;
    for (fabric_capacity& capacity : problem.capacities) {
      if (capacity.fabric == *chosen) capacity.free -= size;
    }
    placed += size;
  }
  return placed;
}

// NOLINTNEXTLINE(misc-no-recursion): an exhaustive search over at most 4^7 placements.
std::size_t PlaceBest(packing_case& problem, std::size_t next) {
  if (next == problem.replicas.size()) return 0;
  std::size_t best = PlaceBest(problem, next + 1);
  const std::size_t size = problem.replicas[next];
  for (fabric_capacity& capacity : problem.capacities) {
    if (capacity.free < size) continue;
    capacity.free -= size;
    best = std::max(best, size + PlaceBest(problem, next + 1));
    capacity.free += size;
  }
  return best;
}

}  // namespace

packing_score ScorePacking(const std::string& strategy, std::size_t cases, std::uint64_t seed) {
  const auto packing = MakePackingStrategy(strategy);
  random_source random(seed);
  packing_score score;
  score.strategy = strategy;
  score.cases = cases;
  for (std::size_t number = 0; number < cases; ++number) {
    packing_case problem = GenerateCase(random);
    score.placed_vms += static_cast<double>(PlaceWith(**packing, problem));
    score.best_vms += static_cast<double>(PlaceBest(problem, 0));
  }
  return score;
}

}  // namespace waxwingwing
