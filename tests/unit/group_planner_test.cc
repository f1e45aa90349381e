#include "waxwingwing/formation/group_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "tests/unit/support/formation_simulation.h"
#include "waxwingwing/formation/formation_targets.h"
#include "waxwingwing/formation/group_name.h"

namespace waxwingwing {
namespace {

using std::chrono::seconds;

std::vector<model_settings> TwoModels() { return {{"large", 6, 0.67}, {"small", 3, 0.33}}; }

/// A directory with a group of model "small" that an earlier controller joined but did not open.
/// Only members from `first_rank` on are registered; each missing member is matched by a free
/// server that needs no loading.
server_directory JoinedGroup(const server_group_id& group, std::uint64_t epoch, time_point now,
                             std::uint32_t first_rank = 0) {
  server_directory directory;
  for (std::uint32_t rank = first_rank; rank < 3 + first_rank; ++rank) {
    backend_server server;
    server.id = backend_server_id("s" + std::to_string(rank));
    server.service = service_id("pool");
    server.address = "10.0.0.1:80";
    server.fabric = fabric_domain_id("d0");
    server.model = "small";
    server.born = 1;
    server.revision = 1;
    if (rank < 3) {
      server.membership = group_membership{group, epoch, rank, membership_state::kReady};
    }
    directory.Update(server, now);
  }
  return directory;
}

TEST_CASE("a group that an earlier controller joined is released and formed again, not opened",
          "[formation]") {
  // Joins of the earlier controller that arrive late would remove members from the open group.
  const time_point now{std::chrono::hours(1)};
  constexpr std::uint64_t epoch_floor = 2000;
  const server_group_id group = MakeGroupName({"small", false, 47, {}, {}});
  server_directory directory = JoinedGroup(group, 47, now);
  service_settings service;
  service.id = service_id("pool");
  service.models = {{"small", 3, 1.0}};
  group_planner planner({});
  planner.Reset(epoch_floor);
  time_point later = now;
  bool left = false;
  std::vector<formation_order> joins;
  for (int step = 0; step < 100 && joins.empty(); ++step) {
    later += milliseconds(60);
    for (const formation_order& order : planner.Plan(service, directory, later)) {
      CHECK(order.action != formation_action::kOpen);
      if (order.action == formation_action::kJoin) joins.push_back(order);
      if (order.action != formation_action::kLeave) continue;
      CHECK(order.group == group);
      left = true;
      planner.RecordOutcome(order, order_outcome::kAccepted, later);
    }
  }
  CHECK(left);
  REQUIRE(!joins.empty());
  CHECK(joins.front().epoch > epoch_floor);
}

// Guards against joins of another group for the members of a head that may still serve them,
// because an answer to `leave` that proves nothing counted as proof that the head has left.
TEST_CASE("only an answer that proves that the head has left releases its members", "[formation]") {
  const auto [outcome, proves] =
      GENERATE(table<order_outcome, bool>({{order_outcome::kAccepted, true},
                                           {order_outcome::kConflict, true},
                                           {order_outcome::kWrongServer, true},
                                           {order_outcome::kOutdated, false},
                                           {order_outcome::kRejected, false},
                                           {order_outcome::kUnreachable, false},
                                           {order_outcome::kNoAnswer, false}}));
  INFO(NameOf(outcome));
  const time_point now{std::chrono::hours(1)};
  const server_group_id group = MakeGroupName({"small", false, 47, {}, {}});
  server_directory directory = JoinedGroup(group, 47, now);
  // A free server, which takes the head's place if another server has the head's address.
  backend_server spare = directory.Find(backend_server_id("s1"))->server;
  spare.id = backend_server_id("spare");
  spare.membership.reset();
  directory.Update(spare, now);
  service_settings service;
  service.id = service_id("pool");
  service.models = {{"small", 3, 1.0}};
  group_planner planner({});
  planner.Reset(2000);
  constexpr int accepted_from = 30;
  std::size_t leaves = 0;
  std::vector<formation_order> joins;
  int step = 0;
  while (joins.empty() && step < 2 * accepted_from) {
    const time_point later = now + milliseconds(60 * ++step);
    for (const formation_order& order : planner.Plan(service, directory, later)) {
      const bool is_member = order.target != spare.id;
      if (order.action == formation_action::kJoin && is_member) joins.push_back(order);
      if (order.action != formation_action::kLeave) continue;
      ++leaves;
      planner.RecordOutcome(order, step < accepted_from ? outcome : order_outcome::kAccepted,
                            later);
    }
  }
  // The order is repeated until its answer proves something.
  CHECK((step < accepted_from) == proves);
  CHECK((leaves == 1) == proves);
  REQUIRE(!joins.empty());
  // Answers to other orders than joins say nothing about epochs.
  CHECK(joins.front().epoch < 3000);
}

// Guards against epochs that overflow, after which servers reject all joins, because of an entry of
// another writer.
TEST_CASE("the epoch of a group that no controller has named does not count", "[formation]") {
  const time_point now{std::chrono::hours(1)};
  // Three free servers.
  server_directory directory = JoinedGroup({}, 0, now, 3);
  backend_server odd = directory.entries().begin()->second.server;
  odd.id = backend_server_id("odd");
  odd.fabric = fabric_domain_id("d1");
  odd.membership = group_membership{server_group_id("other"), std::uint64_t{1} << 62U, 0,
                                    membership_state::kReady};
  directory.Update(odd, now);
  service_settings service;
  service.id = service_id("pool");
  service.models = {{"small", 3, 1.0}};
  group_planner planner({});
  planner.Reset(2000);
  std::vector<formation_order> joins;
  for (int step = 1; step < 100 && joins.empty(); ++step) {
    for (const formation_order& order :
         planner.Plan(service, directory, now + milliseconds(60 * step))) {
      if (order.action == formation_action::kJoin) joins.push_back(order);
    }
  }
  REQUIRE(!joins.empty());
  CHECK(joins.front().epoch < 3000);
}

TEST_CASE("a fabric domain forms one group of each model and keeps two spares loaded",
          "[formation]") {
  formation_simulation simulation(TwoModels(), 2, 11, 1);
  simulation.Run(seconds(40));
  CHECK(simulation.ServingGroups() ==
        std::map<std::string, std::size_t>{{"large", 2}, {"small", 2}});
  CHECK(simulation.violations().empty());
  // Every server loads one model from the store; spares also stage the other one on their host.
  CHECK(simulation.joins_from_store() == 22);
}

TEST_CASE("a spare replaces a lost member within a second of the stall report", "[formation]") {
  formation_simulation simulation(TwoModels(), 1, 11, 2);
  simulation.Run(seconds(60));
  const auto members = simulation.MembersOfGroup("large");
  REQUIRE(members.size() == 6);
  const std::uint64_t loads = simulation.joins_from_store();
  simulation.Crash(members[3]);
  simulation.Run(milliseconds(200));
  simulation.ReportStall(simulation.GroupOf(members[0]));
  simulation.Run(milliseconds(1500));
  CHECK(simulation.ServingGroups()["large"] == 1);
  CHECK(simulation.joins_from_store() == loads);
  CHECK(simulation.violations().empty());
}

// Guards against dissolving a sound group, which ends its streams, because a member did not answer
// one probe.
TEST_CASE("a group keeps a member or a head that is silent for a second", "[formation]") {
  for (const std::size_t rank : {0, 3}) {
    formation_simulation simulation(TwoModels(), 1, 11, 2);
    simulation.Run(seconds(60));
    const auto members = simulation.MembersOfGroup("large");
    const server_group_id group = simulation.GroupOf(members[0]);
    simulation.Silence(members[rank], milliseconds(1000));
    simulation.Run(milliseconds(300));
    simulation.ReportStall(group);
    simulation.Run(seconds(3));
    CAPTURE(rank);
    CHECK(simulation.GroupOf(members[0]) == group);
    CHECK(simulation.ServingGroups()["large"] == 1);
  }
}

TEST_CASE("a stall report about a group whose members all answer changes nothing", "[formation]") {
  formation_simulation simulation(TwoModels(), 1, 11, 3);
  simulation.Run(seconds(40));
  const auto members = simulation.MembersOfGroup("large");
  const server_group_id group = simulation.GroupOf(members[0]);
  simulation.ReportStall(group);
  simulation.Run(seconds(3));
  CHECK(simulation.GroupOf(members[0]) == group);
  CHECK(simulation.ServingGroups()["large"] == 1);
}

TEST_CASE("a draining member leaves its group only after the head has finished its requests",
          "[formation]") {
  formation_simulation simulation(TwoModels(), 1, 11, 4);
  simulation.Run(seconds(60));
  const auto members = simulation.MembersOfGroup("small");
  REQUIRE(members.size() == 3);
  simulation.Drain(members[1]);
  simulation.Run(seconds(4));
  const auto next = simulation.MembersOfGroup("small");
  CHECK(std::find(next.begin(), next.end(), members[1]) == next.end());
  CHECK(simulation.ServingGroups()["small"] == 1);
  CHECK(simulation.violations().empty());
}

TEST_CASE("groups of a fabric domain that is cut off keep their members", "[formation]") {
  // Heads that are neither registered nor reachable may still serve requests inside the partition.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    formation_simulation simulation(TwoModels(), 2, 11, seed);
    simulation.Run(seconds(40));
    simulation.PartitionFabric(fabric_domain_id("f0"), seconds(6));
    if (seed % 2 == 0) {
      simulation.Run(seconds(3));
      simulation.ReplaceController();
    }
    simulation.Run(seconds(12));
    CAPTURE(seed);
    CHECK(simulation.violations().empty());
    CHECK(simulation.ServingGroups()["large"] == 2);
  }
}

TEST_CASE(
    "load pattern: a domain that cannot hold both models gets the model with the most work "
    "per group",
    "[formation][load]") {
  // The domains lose members until one holds 8 servers: five servers of a broken large group are
  // stranded next to a small group, while the large model has only half of its groups.
  formation_simulation simulation(TwoModels(), 2, 11, 8);
  simulation.Run(seconds(60));
  for (int lost = 0; lost < 3; ++lost) {
    const auto members = simulation.MembersOfGroup("large");
    REQUIRE(!members.empty());
    simulation.CrashPermanently(members[1 + static_cast<std::size_t>(lost)]);
    simulation.Run(seconds(8));
  }
  simulation.Run(seconds(40));
  CHECK(simulation.ServingGroups()["large"] == 2);
  CHECK(simulation.ServingGroups()["small"] >= 1);
  CHECK(simulation.violations().empty());
}

TEST_CASE("a head that is cut off only from the VM list is replaced after it has left its group",
          "[formation]") {
  formation_simulation simulation(TwoModels(), 1, 11, 5);
  simulation.Run(seconds(60));
  const auto members = simulation.MembersOfGroup("large");
  simulation.PartitionFromList(members[0], seconds(30));
  simulation.Run(seconds(8));
  const auto next = simulation.MembersOfGroup("large");
  REQUIRE(next.size() == 6);
  CHECK(std::find(next.begin(), next.end(), members[0]) == next.end());
  CHECK(simulation.violations().empty());
}

TEST_CASE("a failed head is replaced once the other members answer probes and it does not",
          "[formation]") {
  formation_simulation simulation(TwoModels(), 1, 11, 6);
  simulation.Run(seconds(60));
  const auto members = simulation.MembersOfGroup("large");
  simulation.Crash(members[0]);
  simulation.Run(seconds(8));
  CHECK(simulation.ServingGroups()["large"] == 1);
  CHECK(simulation.violations().empty());
}

// Guards against joins for the members of an open group because its head, which other VMs still
// reach, answers neither the VM list nor the controller.
TEST_CASE("a head that only the controller cannot reach keeps members until they have left",
          "[formation]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    formation_simulation simulation(TwoModels(), 1, 11, seed);
    simulation.Run(seconds(60));
    const auto members = simulation.MembersOfGroup("large");
    const server_group_id group = simulation.GroupOf(members[0]);
    simulation.PartitionFromController(members[0], seconds(9));
    simulation.Run(seconds(8));
    CAPTURE(seed);
    // The members serve in another group meanwhile.
    CHECK(simulation.GroupOf(members[1]) != group);
    CHECK(simulation.ServingGroups()["large"] == 1);
    simulation.Run(seconds(12));
    CHECK(simulation.GroupOf(members[0]) != group);
    CAPTURE(simulation.violations());
    CHECK(simulation.violations().empty());
  }
}

// The same with several heads at once, members that are cut off beside them, lost and late orders,
// and new controllers.
TEST_CASE("servers that only the controller cannot reach are never in two groups",
          "[formation][property]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    formation_simulation simulation(TwoModels(), 2, 11, seed);
    formation_faults faults;
    faults.lost_order = 0.05;
    faults.lost_answer = 0.05;
    faults.late_order = 0.1;
    faults.crash = 0.005;
    faults.controller_partition = 0.02;
    faults.controller_change = seed % 2 == 0 ? 0.1 : 0;
    simulation.SetFaults(faults);
    simulation.Run(seconds(90));
    CAPTURE(seed);
    CAPTURE(simulation.violations());
    CHECK(simulation.violations().empty());
  }
}

// Guards against joins for the members of a group that may be open because its head has not been
// seen for long: its name tells neither the head nor an address to probe.
TEST_CASE("members of a group with an unknown head join others only after they have left",
          "[formation]") {
  const time_point start{std::chrono::hours(1)};
  const server_group_id group("of another origin");
  server_directory directory = JoinedGroup(group, 47, start, 1);
  service_settings service;
  service.id = service_id("pool");
  service.models = {{"small", 3, 1.0}};
  group_planner planner({});
  planner.Reset(2000);
  std::set<backend_server_id> left;
  std::set<backend_server_id> joined;
  for (time_point now = start; now - start < seconds(20); now += milliseconds(60)) {
    for (const formation_order& order : planner.Plan(service, directory, now)) {
      const auto* known = directory.Find(order.target);
      const bool is_member = known != nullptr && known->server.membership.has_value();
      if (order.action == formation_action::kLeave) {
        CHECK(order.group == group);
        CHECK(is_member);
        planner.RecordOutcome(order, order_outcome::kAccepted, now);
        left.insert(order.target);
      }
      if (order.action != formation_action::kJoin || !is_member) continue;
      CHECK(left.contains(order.target));
      joined.insert(order.target);
    }
  }
  CHECK(left.size() == 2);
  CHECK(joined == left);
}

TEST_CASE("a new controller releases the members of a group whose head it has never seen",
          "[formation]") {
  // Occurs when all VMs lose power after the head has failed and its registration has lapsed: the
  // controller knows the head only from the group's name.
  const time_point start{std::chrono::hours(1)};
  const backend_server_id head("s0");
  const std::string head_address = "10.0.0.9:80";
  const server_group_id group = MakeGroupName({"small", false, 47, head, head_address});
  server_directory directory = JoinedGroup(group, 47, start, 1);
  service_settings service;
  service.id = service_id("pool");
  service.models = {{"small", 3, 1.0}};
  group_planner planner({});
  planner.Reset(2000);
  time_point now = start;
  bool joined = false;
  bool head_probed = false;
  while (!joined && now - start < seconds(4)) {
    now += milliseconds(60);
    for (const formation_order& order : planner.Plan(service, directory, now)) {
      if (order.action == formation_action::kJoin) joined = true;
      if (order.action == formation_action::kLeave) {
        CHECK(order.target != head);
        planner.RecordOutcome(order, order_outcome::kAccepted, now);
      }
      if (order.action != formation_action::kProbe) continue;
      const auto* known = directory.Find(order.target);
      if (order.target == head) head_probed = head_probed || order.address == head_address;
      if (known == nullptr) {
        planner.RecordProbe(order.target, order_outcome::kNoAnswer, {}, now);
      } else {
        planner.RecordProbe(order.target, order_outcome::kAccepted, known->server.membership, now);
      }
    }
  }
  CHECK(head_probed);
  CHECK(joined);
}

TEST_CASE("no group is partial and no server is in two groups when orders are lost or late",
          "[formation][property]") {
  // Orders are lost, late, repeated or reordered, members crash or are partitioned at any moment,
  // and the controller may be replaced in any step.
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    formation_simulation simulation(TwoModels(), 2, 11, seed);
    random_source random(seed * 7919);
    formation_faults faults;
    faults.lost_order = random.Fraction() * 0.2;
    faults.lost_answer = random.Fraction() * 0.2;
    faults.late_order = random.Fraction() * 0.3;
    faults.crash = random.Fraction() * 0.02;
    faults.list_partition = random.Fraction() * 0.01;
    faults.domain_partition = random.Fraction() * 0.002;
    faults.controller_change = random.Fraction() * 0.2;
    simulation.SetFaults(faults);
    simulation.Run(seconds(90));
    CAPTURE(seed);
    CAPTURE(simulation.violations());
    CHECK(simulation.violations().empty());
  }
}

TEST_CASE("groups form again after all faults have ended", "[formation][property]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    formation_simulation simulation(TwoModels(), 2, 11, seed);
    formation_faults faults;
    faults.lost_answer = 0.2;
    faults.late_order = 0.2;
    faults.controller_change = 0.2;
    simulation.SetFaults(faults);
    simulation.Run(seconds(40));
    simulation.SetFaults({});
    simulation.Run(seconds(45));
    CAPTURE(seed);
    CHECK(simulation.ServingGroups() ==
          std::map<std::string, std::size_t>{{"large", 2}, {"small", 2}});
  }
}

TEST_CASE("targets give each domain one group of every model that fits before spares",
          "[formation]") {
  const std::vector<model_settings> models = TwoModels();
  const fabric_domain_id fabric("f0");
  const auto targets = [&](std::size_t usable) {
    return ComputeFormationTargets(models, {{fabric, usable}}, 2)[fabric];
  };
  CHECK(targets(11) == group_counts{{"large", 1}, {"small", 1}});
  CHECK(targets(9) == group_counts{{"large", 1}, {"small", 1}});
  CHECK(targets(8) == group_counts{{"large", 1}});
  CHECK(targets(5) == group_counts{{"small", 1}});
  CHECK(targets(2).empty());
  CHECK(targets(27).at("large") >= 2);
}

TEST_CASE("group names encode the model, the purpose and the head", "[formation]") {
  const server_group_id id = MakeGroupName({"a:b", true, 17, {}, {}});
  const auto name = ParseGroupName(id);
  REQUIRE(name);
  CHECK(name->model == "a:b");
  CHECK(name->spare);
  CHECK(name->number == 17);
  const auto serving =
      ParseGroupName(MakeGroupName({"a@b:c", false, 18, backend_server_id("i-1"), "10.0.0.1:80"}));
  REQUIRE(serving);
  CHECK(serving->model == "a@b:c");
  CHECK(serving->number == 18);
  CHECK(serving->head == backend_server_id("i-1"));
  CHECK(serving->head_address == "10.0.0.1:80");
  CHECK(!ParseGroupName(server_group_id("serve:a:1@i-1")));
  CHECK(!ParseGroupName(server_group_id("g7")));
  CHECK(!ParseGroupName(server_group_id("serve:a:x")));
}

}  // namespace
}  // namespace waxwingwing
