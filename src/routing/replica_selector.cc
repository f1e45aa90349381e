#include "waxwingwing/routing/replica_selector.h"

#include <string>

#include "routing/bounded_affinity_selector.h"
#include "routing/entropy_weighted_selector.h"
#include "routing/least_loaded_selector.h"
#include "routing/round_robin_selector.h"

namespace waxwingwing {
namespace {

template <typename selector>
std::unique_ptr<replica_selector> Make() {
  return std::make_unique<selector>();
}

struct strategy {
  std::string_view name;
  std::unique_ptr<replica_selector> (*make)();
};

constexpr strategy kStrategies[] = {
    {"bounded_affinity", &Make<bounded_affinity_selector>},
    {"least_loaded", &Make<least_loaded_selector>},
    {"round_robin", &Make<round_robin_selector>},
    {"entropy_weighted", &Make<entropy_weighted_selector>},
};

}  // namespace

result<std::unique_ptr<replica_selector>> MakeReplicaSelector(std::string_view name) {
  std::string names;
  for (const strategy& candidate : kStrategies) {
    if (candidate.name == name) return candidate.make();
    names += names.empty() ? "" : ", ";
    names += candidate.name;
  }
  return result<std::unique_ptr<replica_selector>>::Failure(
      "unknown replica selection strategy '" + std::string(name) + "'; expected one of: " + names);
}

}  // namespace waxwingwing
