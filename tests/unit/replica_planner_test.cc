#include "waxwingwing/groups/replica_planner.h"

#include <catch2/catch.hpp>

#include "tests/unit/planner_simulation.h"

namespace waxwingwing {
namespace {

TEST_CASE("an unknown strategy name is refused", "[groups]") {
  planner_options options;
  options.packing = "tightest";
  REQUIRE_FALSE(replica_planner::Create(options));
  options.packing = "best_fit";
  options.repair = "none";
  REQUIRE_FALSE(replica_planner::Create(options));
}

TEST_CASE("best fit takes the fewest free VMs that suffice, first fit the first", "[groups]") {
  const std::vector<fabric_capacity> capacities{
      {fabric_domain_id("f1"), 9}, {fabric_domain_id("f2"), 4}, {fabric_domain_id("f3"), 3}};
  REQUIRE((*MakePackingStrategy("best_fit"))->Choose(capacities, 4) == fabric_domain_id("f2"));
  REQUIRE((*MakePackingStrategy("first_fit"))->Choose(capacities, 4) == fabric_domain_id("f1"));
  REQUIRE_FALSE((*MakePackingStrategy("best_fit"))->Choose(capacities, 10));
}

TEST_CASE("a replica forms in one fabric domain or not at all", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 4);
  simulation.AddVms("f1", 3);
  simulation.AddVms("f2", 3);
  simulation.Run(10);
  REQUIRE(simulation.IdleEngines() == 6);
  simulation.AddVm("f2-3", "f2");
  simulation.Run(30);
  const assembled_replica replica = simulation.OnlyServing();
  for (const vm_id& member : replica.members) REQUIRE(member.str().starts_with("f2"));
}

TEST_CASE("a lost member is replaced in its fabric domain under a higher generation", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 4);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.Kill(before.members[1]);
  simulation.Run(30);
  const assembled_replica after = simulation.OnlyServing();
  REQUIRE(after.replica == before.replica);
  REQUIRE(after.generation > before.generation);
  REQUIRE(after.members[0] == before.members[0]);
  REQUIRE(after.members[1] != before.members[1]);
  SECTION("a member that returns later is released, not used twice") {
    simulation.engines[before.members[1]].alive = true;
    simulation.Run(10);
    REQUIRE(simulation.OnlyServing().generation == after.generation);
    REQUIRE_FALSE(simulation.engines[before.members[1]].truth.assignment);
  }
}

TEST_CASE("no member is replaced when many VMs are silent for a short time", "[groups]") {
  // When an entry VM fails, its backend servers are not polled for about 3 s.
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 6);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  for (const vm_id& member : before.members) simulation.Kill(member);
  simulation.Run(7);
  for (const vm_id& member : before.members) simulation.engines[member].alive = true;
  simulation.Run(10);
  REQUIRE(simulation.OnlyServing().generation == before.generation);
}

TEST_CASE("a member that returns before its substitute is ready gets its place back", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 4);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.Kill(before.members[1]);
  simulation.Run(7);
  REQUIRE(simulation.Loading() == 1);
  simulation.engines[before.members[1]].alive = true;
  simulation.Run(3);
  const assembled_replica after = simulation.OnlyServing();
  REQUIRE(after.members == before.members);
  REQUIRE(after.generation > before.generation);
  simulation.Run(4);
  REQUIRE(simulation.IdleEngines() == 1);
}

TEST_CASE("in place, a leaving member is replaced after the drain despite free VMs", "[groups]") {
  planner_options options;
  options.leaving = leaving_policy::kInPlace;
  planner_simulation simulation(1, options);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 7);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.Entry(before.members[1]).state = vm_state::kLeaving;
  simulation.Run(30);
  const assembled_replica after = simulation.OnlyServing();
  REQUIRE(after.replica == before.replica);
  REQUIRE(after.members[0] == before.members[0]);
}

TEST_CASE("a member that restarts empty loads again without a new generation", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 3);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.Restart(before.members[2]);
  simulation.Run(12);
  REQUIRE(simulation.OnlyServing().generation == before.generation);
}

TEST_CASE("without a spare a successor replica forms elsewhere and the survivors are released",
          "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 3);
  simulation.AddVms("f2", 5);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  REQUIRE(before.members[0].str().starts_with("f1"));
  simulation.Kill(before.members[0]);
  simulation.Run(40);
  const assembled_replica after = simulation.OnlyServing();
  REQUIRE(after.members[0].str().starts_with("f2"));
  REQUIRE(simulation.IdleEngines() == 4);
}

TEST_CASE("the successor is released when the lost member returns first", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 3);
  simulation.AddVms("f2", 3);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.Kill(before.members[0]);
  simulation.Run(8);
  simulation.engines[before.members[0]].alive = true;
  simulation.Run(30);
  REQUIRE(simulation.OnlyServing().replica == before.replica);
  REQUIRE(simulation.IdleEngines() == 3);
}

TEST_CASE("a broken replica that cannot be repaired is released to complete another", "[groups]") {
  // Guards against two replicas that each lack one VM and hold the VMs that the other needs, so
  // that no accelerator is used.
  planner_simulation simulation(1);
  simulation.AddGroup("g", 2, 3);
  simulation.AddVms("f1", 6);
  simulation.Run(40);
  REQUIRE(simulation.Serving("g") == 2);
  for (const assembled_replica& replica : simulation.Assemble())
    simulation.Kill(replica.members[2]);
  simulation.Run(40);
  REQUIRE(simulation.Serving("g") == 1);
}

TEST_CASE("members leave a superseded generation only after its leader", "[groups]") {
  // Guards against a leader that accepts requests for a replica after one of its members has left
  // that generation.
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 5);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.Kill(before.members[2]);
  std::size_t ordered = 0;
  for (int step = 0; step < 40; ++step) {
    simulation.Step();
    for (const replica_order& order : simulation.last_orders) {
      if (order.target != before.members[1]) continue;
      ++ordered;
      REQUIRE(simulation.engines[before.leader].truth.assignment->generation > before.generation);
    }
  }
  REQUIRE(ordered > 0);
  REQUIRE(simulation.OnlyServing().generation > before.generation);
}

TEST_CASE("a leaving member's replica is replaced before it is released", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 2);
  simulation.AddVms("f1", 4);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  for (const vm_id& member : before.members) {
    simulation.engines[member].truth.running = request_count(3);
  }
  simulation.Entry(before.members[1]).state = vm_state::kLeaving;
  simulation.Run(30);
  REQUIRE(simulation.OnlyServing().replica != before.replica);
  REQUIRE(simulation.draining == std::vector<replica_id>{before.replica});
  REQUIRE(simulation.engines[before.members[0]].truth.assignment);
  SECTION("released when its requests ended") {
    for (const vm_id& member : before.members) {
      simulation.engines[member].truth.running = request_count(0);
    }
    simulation.Run(10);
    REQUIRE_FALSE(simulation.engines[before.members[0]].truth.assignment);
  }
  SECTION("released at the drain limit") {
    simulation.Run(2 * 120);
    REQUIRE_FALSE(simulation.engines[before.members[0]].truth.assignment);
  }
}

TEST_CASE("without VMs for a whole second replica a leaving member is replaced after the drain",
          "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 4);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.Entry(before.members[1]).state = vm_state::kLeaving;
  simulation.Run(40);
  const assembled_replica after = simulation.OnlyServing();
  REQUIRE(after.replica == before.replica);
  REQUIRE(after.members[1] != before.members[1]);
}

TEST_CASE("a straggler is replaced after it was slow for ten seconds", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 3);
  simulation.AddVms("f1", 6);
  simulation.Run(30);
  const assembled_replica before = simulation.OnlyServing();
  simulation.engines[before.members[1]].ms_per_token = 61;
  simulation.Run(19);
  REQUIRE(simulation.OnlyServing().replica == before.replica);
  REQUIRE(simulation.state.replicas.size() == 1);
  simulation.Run(60);
  const assembled_replica after = simulation.OnlyServing();
  REQUIRE(after.replica != before.replica);
  for (const vm_id& member : after.members) REQUIRE(member != before.members[1]);
}

TEST_CASE("withdrawn and reduced model groups are released", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 2, 2);
  simulation.AddVms("f1", 4);
  simulation.Run(40);
  REQUIRE(simulation.Serving("g") == 2);
  SECTION("reduced") {
    simulation.config.model_groups[model_group_id("g")].value.replicas = 1;
    simulation.Run(30);
    REQUIRE(simulation.Serving("g") == 1);
    REQUIRE(simulation.IdleEngines() == 2);
  }
  SECTION("withdrawn") {
    simulation.config.model_groups.clear();
    simulation.Run(30);
    REQUIRE(simulation.IdleEngines() == 4);
  }
}

TEST_CASE("a changed model moves one replica at a time when VMs are short", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 2, 2);
  simulation.AddVms("f1", 4);
  simulation.Run(40);
  simulation.config.model_groups[model_group_id("g")].value.model = "next";
  for (int step = 0; step < 120; ++step) {
    simulation.Step();
    REQUIRE(simulation.Serving("g") >= 1);
  }
  REQUIRE(simulation.Serving("g") == 2);
  for (const auto& [id, replica] : simulation.state.replicas) REQUIRE(replica.model == "next");
}

TEST_CASE("a domain that is out keeps its replicas but repairs nothing", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 2, 2);
  simulation.AddVms("f1", 6);
  simulation.Run(40);
  simulation.config.failure_domains[simulation.domain].value.state = domain_state::kOut;
  simulation.Kill(simulation.Assemble().front().members[0]);
  const std::uint64_t orders_before = simulation.orders_sent;
  simulation.Run(40);
  REQUIRE(simulation.orders_sent == orders_before);
  simulation.config.failure_domains[simulation.domain].value.state = domain_state::kIn;
  simulation.Run(2);
  REQUIRE(simulation.Serving("g") == 1);
  simulation.Run(30);
  REQUIRE(simulation.Serving("g") == 2);
}

TEST_CASE("concurrent loads are limited in number and ordered by priority", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("a", 1, 6).priority = 7;
  simulation.AddGroup("b", 1, 6).priority = 2;
  simulation.AddVms("f1", 12);
  bool low_priority_seen = false;
  for (int step = 0; step < 60; ++step) {
    simulation.Step();
    REQUIRE(simulation.Loading() <= 4);
    low_priority_seen = low_priority_seen || simulation.Serving("a") == 1;
    if (low_priority_seen) REQUIRE(simulation.Serving("b") == 1);
  }
  REQUIRE(low_priority_seen);
}

TEST_CASE("a replica that does not complete is released whole after the forming limit",
          "[groups]") {
  planner_options options;
  options.forming_limit = milliseconds(20000);
  planner_simulation simulation(1, options);
  simulation.AddGroup("g", 1, 2);
  simulation.AddVms("f1", 3);
  // This engine accepts orders and never becomes ready.
  simulation.Step();
  const vm_id stuck = simulation.last_orders.back().target;
  for (int step = 0; step < 140; ++step) {
    simulation.engines[stuck].ready_at = simulation.now + std::chrono::hours(1);
    simulation.Step();
  }
  const assembled_replica replica = simulation.OnlyServing();
  for (const vm_id& member : replica.members) REQUIRE(member != stuck);
  REQUIRE(simulation.IdleEngines() == 1);
}

}  // namespace
}  // namespace waxwingwing
