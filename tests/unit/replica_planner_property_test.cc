#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "tests/unit/planner_simulation.h"
#include "waxwingwing/groups/replica_planner.h"

namespace waxwingwing {
namespace {

/// Injects random faults into a simulated failure domain that has spare VMs.
void InjectFault(planner_simulation& simulation) {
  const vm_id victim = simulation.vms[simulation.random.Below(simulation.vms.size())].id;
  switch (simulation.random.Below(7)) {
    case 0:
      simulation.Kill(victim);
      break;
    case 1:
      simulation.Restart(victim);
      break;
    case 2:
      simulation.engines[victim].alive = true;
      break;
    case 3:
      simulation.Entry(victim).state = vm_state::kLeaving;
      break;
    case 4:
      simulation.Entry(victim).state = vm_state::kLive;
      break;
    case 5:
      simulation.config.model_groups[model_group_id("a")].value.replicas =
          static_cast<std::uint32_t>(simulation.random.Below(4));
      break;
    default:
      if (simulation.random.Below(4) == 0) simulation.TakeOver();
  }
}

void CheckAssembled(const planner_simulation& simulation) {
  std::set<vm_id> used;
  for (const assembled_replica& replica : simulation.Assemble()) {
    if (!replica.serving()) continue;
    std::set<std::string> fabrics;
    for (const vm_id& member : replica.members) {
      REQUIRE(used.insert(member).second);
      fabrics.insert(member.str().substr(0, 2));
    }
    REQUIRE(fabrics.size() == 1);
  }
}

void RunProperty(const planner_options& options, std::uint64_t seed) {
  INFO("seed " << seed << " packing " << options.packing << " repair " << options.repair);
  planner_simulation simulation(seed, options);
  simulation.lose_one_in = 5;
  simulation.duplicate_one_in = 5;
  simulation.AddGroup("a", 2, 4).priority = 1;
  simulation.AddGroup("b", 2, 3).spares = 1;
  simulation.AddVms("f1", 8);
  simulation.AddVms("f2", 8);
  simulation.AddVms("f3", 8);
  for (int step = 0; step < 300; ++step) {
    if (simulation.random.Below(8) == 0) InjectFault(simulation);
    simulation.Step();
    CheckAssembled(simulation);
  }
  // All VMs return and suffice for every replica, so the plan must reach full service.
  for (vm_entry& entry : simulation.vms) {
    entry.state = vm_state::kLive;
    simulation.engines[entry.id].alive = true;
  }
  simulation.config.model_groups[model_group_id("a")].value.replicas = 2;
  simulation.lose_one_in = 0;
  simulation.Run(400);
  REQUIRE(simulation.Serving("a") == 2);
  REQUIRE(simulation.Serving("b") == 2);
  REQUIRE(simulation.IdleEngines() == 24 - 14);
  const std::uint64_t orders_before = simulation.orders_sent;
  simulation.Run(10);
  REQUIRE(simulation.orders_sent == orders_before);
}

TEST_CASE("property: no VM is ordered into two replicas and full service returns", "[groups]") {
  for (const char* packing : {"best_fit", "first_fit"}) {
    for (const char* repair : {"replace_member", "reform"}) {
      planner_options options;
      options.packing = packing;
      options.repair = repair;
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        options.leaving = seed % 2 == 0 ? leaving_policy::kInPlace : leaving_policy::kFormFirst;
        RunProperty(options, seed);
      }
    }
  }
}

}  // namespace
}  // namespace waxwingwing
