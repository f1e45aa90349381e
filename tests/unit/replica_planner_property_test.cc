#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "tests/unit/planner_world.h"
#include "waxwingwing/groups/replica_planner.h"

namespace waxwingwing {
namespace {

/// Injects random faults into a simulated failure domain that has spare VMs.
void Disturb(planner_world& world) {
  const vm_id victim = world.vms[world.random.Below(world.vms.size())].id;
  switch (world.random.Below(7)) {
    case 0:
      world.Kill(victim);
      break;
    case 1:
      world.Restart(victim);
      break;
    case 2:
      world.engines[victim].alive = true;
      break;
    case 3:
      world.Entry(victim).state = vm_state::kLeaving;
      break;
    case 4:
      world.Entry(victim).state = vm_state::kLive;
      break;
    case 5:
      world.config.model_groups[model_group_id("a")].value.replicas =
          static_cast<std::uint32_t>(world.random.Below(4));
      break;
    default:
      if (world.random.Below(4) == 0) world.TakeOver();
  }
}

void CheckAssembled(const planner_world& world) {
  std::set<vm_id> used;
  for (const assembled_replica& replica : world.Assemble()) {
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
  planner_world world(seed, options);
  world.lose_one_in = 5;
  world.duplicate_one_in = 5;
  world.AddGroup("a", 2, 4).priority = 1;
  world.AddGroup("b", 2, 3).spares = 1;
  world.AddVms("f1", 8);
  world.AddVms("f2", 8);
  world.AddVms("f3", 8);
  for (int step = 0; step < 300; ++step) {
    if (world.random.Below(8) == 0) Disturb(world);
    world.Step();
    CheckAssembled(world);
  }
  // All VMs return and suffice for every replica, so the plan must reach full service.
  for (vm_entry& entry : world.vms) {
    entry.state = vm_state::kLive;
    world.engines[entry.id].alive = true;
  }
  world.config.model_groups[model_group_id("a")].value.replicas = 2;
  world.lose_one_in = 0;
  world.Run(400);
  REQUIRE(world.Serving("a") == 2);
  REQUIRE(world.Serving("b") == 2);
  REQUIRE(world.IdleEngines() == 24 - 14);
  const std::uint64_t orders_before = world.orders_sent;
  world.Run(10);
  REQUIRE(world.orders_sent == orders_before);
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
