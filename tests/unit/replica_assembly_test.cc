#include "waxwingwing/membership/replica_assembly.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

const time_point kNow = time_point(std::chrono::hours(1));
const failure_domain_id kDomain("kicukiro");

/// Fixture with a two-member replica of one group that meets every precondition for serving.
struct fixture {
  configuration config;
  std::vector<vm_entry> vms;
  report_table reports;

  fixture() {
    config.failure_domains[kDomain].value.id = kDomain;
    config.model_groups[model_group_id("g")].value.id = model_group_id("g");
    for (const char* id : {"e0", "e1", "e2"}) {
      vm_entry vm;
      vm.id = vm_id(id);
      vm.failure_domain = kDomain;
      vm.address = std::string(id) + ":1";
      vms.push_back(vm);
    }
  }

  static backend_report Ready(std::uint32_t rank, std::uint64_t sequence = 1) {
    backend_report report;
    report.vm = vm_id("e" + std::to_string(rank));
    report.incarnation = incarnation(1);
    report.sequence = sequence;
    report.state = backend_state::kReady;
    report.assignment = backend_assignment{
        replica_id("r"), model_group_id("g"), generation(3), rank, {vm_id("e0"), vm_id("e1")}};
    report.taken_at = kNow;
    return report;
  }

  void ObserveBoth() {
    reports.Observe(Ready(0), kNow);
    reports.Observe(Ready(1), kNow);
  }

  assembled_replica Only(time_point now = kNow) const {
    const auto replicas = AssembleReplicas(reports, vms, config, now);
    REQUIRE(replicas.size() == 1);
    return replicas.front();
  }
};

TEST_CASE("a replica that all members confirm serves", "[membership]") {
  fixture setup;
  setup.ObserveBoth();
  const assembled_replica replica = setup.Only();
  REQUIRE(replica.serving());
  REQUIRE(replica.leader == vm_id("e0"));
  REQUIRE(replica.leader_address == "e0:1");
  REQUIRE(replica.failure_domain == kDomain);
  REQUIRE(replica.generation == generation(3));
}

TEST_CASE("a replica with a silent member does not serve", "[membership]") {
  fixture setup;
  setup.reports.Observe(fixture::Ready(0), kNow);
  REQUIRE(setup.Only().fault == replica_fault::kMemberSilent);
  setup.reports.Observe(fixture::Ready(1), kNow);
  const time_point later = kNow + kReportLifetime + milliseconds(1);
  REQUIRE(setup.Only(later).fault == replica_fault::kMemberSilent);
}

TEST_CASE("a replica whose members disagree does not serve", "[membership]") {
  fixture setup;
  setup.reports.Observe(fixture::Ready(0), kNow);
  backend_report member = fixture::Ready(1);
  SECTION("generation") { member.assignment->generation = generation(2); }
  SECTION("replica") { member.assignment->replica = replica_id("q"); }
  SECTION("model group") { member.assignment->model_group = model_group_id("h"); }
  SECTION("rank") { member.assignment->rank = 0; }
  SECTION("member list") { member.assignment->members.push_back(vm_id("e2")); }
  SECTION("no assignment") { member.assignment.reset(); }
  setup.reports.Observe(member, kNow);
  for (const assembled_replica& replica :
       AssembleReplicas(setup.reports, setup.vms, setup.config, kNow)) {
    REQUIRE_FALSE(replica.serving());
  }
}

TEST_CASE("a replica with a loading, suspected, leaving or unlisted member does not serve",
          "[membership]") {
  fixture setup;
  setup.ObserveBoth();
  SECTION("loading") {
    backend_report loading = fixture::Ready(1, 2);
    loading.state = backend_state::kLoading;
    setup.reports.Observe(loading, kNow);
    REQUIRE(setup.Only().fault == replica_fault::kMemberNotReady);
  }
  SECTION("suspect") {
    setup.reports.MarkSuspected(vm_id("e1"), incarnation(1), kNow);
    REQUIRE(setup.Only().fault == replica_fault::kMemberSuspected);
  }
  SECTION("leaving") {
    setup.vms[1].state = vm_state::kLeaving;
    REQUIRE(setup.Only().fault == replica_fault::kMemberLeaving);
  }
  SECTION("unlisted") {
    setup.vms.erase(setup.vms.begin() + 1);
    REQUIRE(setup.Only().fault == replica_fault::kMemberNotListed);
  }
}

TEST_CASE("a domain that is out and a withdrawn model group stop the replica from serving",
          "[membership]") {
  fixture setup;
  setup.ObserveBoth();
  SECTION("domain out") {
    setup.config.failure_domains[kDomain].value.state = domain_state::kOut;
    REQUIRE(setup.Only().fault == replica_fault::kDomainOut);
  }
  SECTION("domain not configured") {
    setup.config.failure_domains.clear();
    REQUIRE(setup.Only().fault == replica_fault::kDomainOut);
  }
  SECTION("withdrawn") {
    setup.config.model_groups.clear();
    REQUIRE(setup.Only().fault == replica_fault::kModelGroupNotConfigured);
  }
}

TEST_CASE("a replica in which a VM is named twice does not serve", "[membership]") {
  fixture setup;
  backend_report report = fixture::Ready(0);
  report.assignment->members = {vm_id("e0"), vm_id("e0")};
  setup.reports.Observe(report, kNow);
  REQUIRE(setup.Only().fault == replica_fault::kMemberDisagrees);
}

TEST_CASE("a complete generation serves even if a stray VM reports a higher one", "[membership]") {
  fixture setup;
  setup.ObserveBoth();
  backend_report stray = fixture::Ready(1);
  stray.vm = vm_id("e2");
  stray.assignment->generation = generation(4);
  stray.assignment->members = {vm_id("e0"), vm_id("e2")};
  setup.reports.Observe(stray, kNow);
  REQUIRE(setup.Only().serving());
  REQUIRE(setup.Only().generation == generation(3));
}

/// Simulates engines that change their assignment and restart at random, with reports in flight.
class membership_simulation {
 public:
  explicit membership_simulation(std::uint64_t seed) : random_(seed) {
    for (int number = 3; number < 8; ++number) {
      vm_entry vm;
      vm.id = vm_id("e" + std::to_string(number));
      vm.failure_domain = kDomain;
      setup_.vms.push_back(vm);
    }
    truths_.resize(setup_.vms.size());
    for (std::size_t index = 0; index < truths_.size(); ++index) Restart(index);
  }

  void Step() {
    now_ += milliseconds(20 + random_.Below(80));
    const std::size_t index = random_.Below(truths_.size());
    if (random_.Below(60) == 0) Restart(index);
    if (random_.Below(8) == 0) AssignSome();
    Send(index);
    Deliver();
  }

  void Check() {
    std::set<vm_id> used;
    for (const assembled_replica& replica :
         AssembleReplicas(setup_.reports, setup_.vms, setup_.config, now_)) {
      if (!replica.serving()) continue;
      ++serving_seen;
      for (std::size_t rank = 0; rank < replica.members.size(); ++rank) {
        CheckMember(replica, rank);
        REQUIRE(used.insert(replica.members[rank]).second);
      }
    }
  }

  int serving_seen = 0;

 private:
  struct in_flight {
    time_point arrives;
    backend_report report;
  };

  void Restart(std::size_t index) {
    backend_report fresh;
    fresh.vm = setup_.vms[index].id;
    fresh.incarnation = incarnation(random_.Next());
    truths_[index] = {fresh, now_};
  }

  void AssignSome() {
    const std::size_t count = 1 + random_.Below(3);
    backend_assignment assignment{replica_id("r" + std::to_string(random_.Below(4))),
                                  model_group_id("g"),
                                  generation(++generations_),
                                  0,
                                  {}};
    for (std::size_t rank = 0; rank < count; ++rank) {
      assignment.members.push_back(setup_.vms[(generations_ + rank) % truths_.size()].id);
    }
    for (std::size_t rank = 0; rank < count; ++rank) {
      if (random_.Below(10) == 0) continue;
      assignment.rank = static_cast<std::uint32_t>(rank);
      backend_report& truth = truths_[(generations_ + rank) % truths_.size()].first;
      truth.assignment = assignment;
      truth.state = random_.Below(8) == 0 ? backend_state::kLoading : backend_state::kReady;
    }
  }

  void Send(std::size_t index) {
    auto& [truth, started] = truths_[index];
    ++truth.sequence;
    truth.taken_at = now_;
    truth.uptime = std::chrono::duration_cast<milliseconds>(now_ - started);
    const std::uint64_t delay = random_.Below(4) == 0 ? random_.Below(3000) : random_.Below(50);
    under_way_.push_back({now_ + milliseconds(delay), truth});
    if (random_.Below(5) == 0) under_way_.push_back({now_ + milliseconds(2 * delay), truth});
  }

  void Deliver() {
    for (const in_flight& item : under_way_) {
      if (item.arrives > now_) continue;
      setup_.reports.Observe(item.report, now_);
      const auto held = newest_.find(item.report.vm);
      if (held == newest_.end() || held->second.taken_at < item.report.taken_at) {
        newest_[item.report.vm] = item.report;
      }
    }
    std::erase_if(under_way_, [this](const in_flight& item) { return item.arrives <= now_; });
  }

  void CheckMember(const assembled_replica& replica, std::size_t rank) {
    const backend_report& newest = newest_.at(replica.members[rank]);
    REQUIRE(newest.assignment);
    REQUIRE(newest.assignment->replica == replica.replica);
    REQUIRE(newest.assignment->generation == replica.generation);
    REQUIRE(newest.assignment->rank == rank);
    REQUIRE(newest.assignment->members == replica.members);
    REQUIRE(newest.state == backend_state::kReady);
    REQUIRE(now_ - newest.taken_at <= kReportLifetime);
  }

  random_source random_;
  fixture setup_;
  time_point now_ = kNow;
  std::uint64_t generations_ = 0;
  std::vector<std::pair<backend_report, time_point>> truths_;
  std::vector<in_flight> under_way_;
  std::map<vm_id, backend_report> newest_;
};

TEST_CASE("property: no VM serves in two replicas and no member's newest report disagrees",
          "[membership]") {
  int serving_seen = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    membership_simulation simulation(seed);
    for (int step = 0; step < 500; ++step) {
      simulation.Step();
      simulation.Check();
    }
    serving_seen += simulation.serving_seen;
  }
  // Without serving replicas the checks above prove nothing.
  REQUIRE(serving_seen > 1000);
}

}  // namespace
}  // namespace waxwingwing
