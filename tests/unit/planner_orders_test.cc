#include <catch2/catch.hpp>

#include "tests/unit/planner_simulation.h"
#include "waxwingwing/groups/replica_planner.h"

namespace waxwingwing {
namespace {

TEST_CASE("a VM with an unplanned assignment is released before it is assigned", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 2);
  simulation.AddVms("f1", 2);
  simulation.engines[vm_id("f1-0")].truth.assignment = backend_assignment{
      replica_id("stray"), model_group_id("other"), generation(7), 0, {vm_id("f1-0")}};
  simulation.Step();
  REQUIRE(simulation.last_orders.size() == 1);
  REQUIRE(simulation.last_orders[0].kind == order_kind::kRelease);
  REQUIRE(simulation.last_orders[0].replica == replica_id("stray"));
  simulation.Run(30);
  REQUIRE(simulation.OnlyServing().members.size() == 2);
}

TEST_CASE("a new lease holder adopts the replicas that reports show", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 2, 3);
  simulation.AddVms("f1", 8);
  SECTION("complete replicas get no order") {
    simulation.Run(40);
    simulation.TakeOver();
    const std::uint64_t orders_before = simulation.orders_sent;
    simulation.Run(10);
    REQUIRE(simulation.orders_sent == orders_before);
    REQUIRE(simulation.Serving("g") == 2);
  }
  SECTION("a replica that is being formed is completed") {
    simulation.Run(5);
    simulation.TakeOver();
    simulation.Run(40);
    REQUIRE(simulation.Serving("g") == 2);
  }
  SECTION("new generations are above those of the earlier term") {
    simulation.Run(40);
    const assembled_replica before = simulation.Assemble().front();
    simulation.TakeOver();
    simulation.Kill(before.members[0]);
    simulation.Run(40);
    REQUIRE(simulation.Assemble().front().generation > before.generation);
    REQUIRE(simulation.Serving("g") == 2);
  }
}

TEST_CASE("no order is sent to a VM with an outstanding order", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 2);
  simulation.AddVms("f1", 2);
  for (const vm_entry& vm : simulation.vms) {
    simulation.reports.Observe(simulation.engines[vm.id].truth, simulation.now);
  }
  const auto planner = replica_planner::Create({});
  const std::set<vm_id> outstanding{vm_id("f1-1")};
  backend_report report = simulation.engines[vm_id("f1-0")].truth;
  for (const char* id : {"f1-0", "f1-1"}) {
    report.vm = vm_id(id);
    report.sequence = 9;
    report.taken_at = simulation.now;
    simulation.reports.Observe(report, simulation.now);
  }
  const plan_result planned =
      planner->Plan({simulation.config, simulation.domain, simulation.vms, simulation.reports,
                     simulation.fencing, outstanding, simulation.now},
                    {});
  REQUIRE(planned.orders.size() == 1);
  REQUIRE(planned.orders[0].target == vm_id("f1-0"));
}

TEST_CASE("a VM that an unconfirmed order may still reach is not assigned elsewhere", "[groups]") {
  // The answer to the first order is lost, but the order may take effect until its time-out.
  planner_simulation simulation(1);
  simulation.AddGroup("g", 1, 2);
  simulation.AddVms("f1", 2);
  simulation.lose_one_in = 1;
  simulation.Step();
  REQUIRE(simulation.last_orders.size() == 2);
  const time_point sent = simulation.now;
  simulation.config.model_groups.clear();
  simulation.AddGroup("h", 1, 2);
  // The configuration changes so that the replica is released at once.
  simulation.state.replicas.clear();
  while (simulation.now < sent + milliseconds(1500)) {
    simulation.Step();
    REQUIRE(simulation.last_orders.empty());
  }
  simulation.Run(2);
  REQUIRE(simulation.last_orders.size() == 2);
}

TEST_CASE("generations rise across a takeover even if no report shows them", "[groups]") {
  planner_simulation simulation(1);
  simulation.AddGroup("g", 2, 2);
  simulation.AddVms("f1", 4);
  simulation.lose_one_in = 1;
  simulation.Run(5);
  const generation before = simulation.state.highest_generation;
  simulation.TakeOver();
  simulation.Step();
  for (const auto& [id, replica] : simulation.state.replicas) REQUIRE(replica.generation > before);
  REQUIRE(simulation.state.replicas.size() == 2);
}

}  // namespace
}  // namespace waxwingwing
