#include <catch2/catch.hpp>

#include "tests/unit/planner_world.h"
#include "waxwingwing/groups/replica_planner.h"

namespace waxwingwing {
namespace {

TEST_CASE("a VM with an unplanned assignment is released before it is assigned", "[groups]") {
  planner_world world(1);
  world.AddGroup("g", 1, 2);
  world.AddVms("f1", 2);
  world.engines[vm_id("f1-0")].truth.assignment = backend_assignment{
      replica_id("stray"), model_group_id("other"), generation(7), 0, {vm_id("f1-0")}};
  world.Step();
  REQUIRE(world.last_orders.size() == 1);
  REQUIRE(world.last_orders[0].kind == order_kind::kRelease);
  REQUIRE(world.last_orders[0].replica == replica_id("stray"));
  world.Run(30);
  REQUIRE(world.OnlyServing().members.size() == 2);
}

TEST_CASE("a new lease holder adopts the replicas that reports show", "[groups]") {
  planner_world world(1);
  world.AddGroup("g", 2, 3);
  world.AddVms("f1", 8);
  SECTION("complete replicas get no order") {
    world.Run(40);
    world.TakeOver();
    const std::uint64_t orders_before = world.orders_sent;
    world.Run(10);
    REQUIRE(world.orders_sent == orders_before);
    REQUIRE(world.Serving("g") == 2);
  }
  SECTION("a replica that is being formed is completed") {
    world.Run(5);
    world.TakeOver();
    world.Run(40);
    REQUIRE(world.Serving("g") == 2);
  }
  SECTION("new generations are above those of the earlier term") {
    world.Run(40);
    const assembled_replica before = world.Assemble().front();
    world.TakeOver();
    world.Kill(before.members[0]);
    world.Run(40);
    REQUIRE(world.Assemble().front().generation > before.generation);
    REQUIRE(world.Serving("g") == 2);
  }
}

TEST_CASE("no order is sent to a VM with an outstanding order", "[groups]") {
  planner_world world(1);
  world.AddGroup("g", 1, 2);
  world.AddVms("f1", 2);
  for (const vm_entry& vm : world.vms) {
    world.reports.Observe(world.engines[vm.id].truth, world.now);
  }
  const auto planner = replica_planner::Create({});
  const std::set<vm_id> outstanding{vm_id("f1-1")};
  backend_report report = world.engines[vm_id("f1-0")].truth;
  for (const char* id : {"f1-0", "f1-1"}) {
    report.vm = vm_id(id);
    report.sequence = 9;
    report.taken_at = world.now;
    world.reports.Observe(report, world.now);
  }
  const plan_result planned = planner->Plan(
      {world.config, world.domain, world.vms, world.reports, world.fencing, outstanding, world.now},
      {});
  REQUIRE(planned.orders.size() == 1);
  REQUIRE(planned.orders[0].target == vm_id("f1-0"));
}

TEST_CASE("a VM that an unconfirmed order may still reach is not assigned elsewhere", "[groups]") {
  // The answer to the first order is lost, but the order may take effect until its time-out.
  planner_world world(1);
  world.AddGroup("g", 1, 2);
  world.AddVms("f1", 2);
  world.lose_one_in = 1;
  world.Step();
  REQUIRE(world.last_orders.size() == 2);
  const time_point sent = world.now;
  world.config.model_groups.clear();
  world.AddGroup("h", 1, 2);
  // The configuration changes so that the replica is released at once.
  world.state.replicas.clear();
  while (world.now < sent + milliseconds(1500)) {
    world.Step();
    REQUIRE(world.last_orders.empty());
  }
  world.Run(2);
  REQUIRE(world.last_orders.size() == 2);
}

TEST_CASE("generations rise across a takeover even if no report shows them", "[groups]") {
  planner_world world(1);
  world.AddGroup("g", 2, 2);
  world.AddVms("f1", 4);
  world.lose_one_in = 1;
  world.Run(5);
  const generation before = world.state.highest_generation;
  world.TakeOver();
  world.Step();
  for (const auto& [id, replica] : world.state.replicas) REQUIRE(replica.generation > before);
  REQUIRE(world.state.replicas.size() == 2);
}

}  // namespace
}  // namespace waxwingwing
