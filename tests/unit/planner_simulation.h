#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/groups/replica_planner.h"
#include "waxwingwing/membership/replica_assembly.h"

namespace waxwingwing {

/// Simulates the engines of one failure domain, which execute the orders of a planner. Time moves
/// in steps of half a second, the poll interval.
class planner_simulation {
 public:
  struct engine {
    backend_report truth;
    bool alive = true;
    time_point ready_at{};
    double ms_per_token = 20;
    time_point started{};
    generation highest_accepted;
  };

  struct delayed_order {
    time_point arrives;
    replica_order order;
  };

  static constexpr milliseconds kStep{500};
  static constexpr milliseconds kLoadTime{3000};

  explicit planner_simulation(std::uint64_t seed, const planner_options& options = {})
      : random(seed), planner_(Make(options)) {
    config.failure_domains[domain].value.id = domain;
  }

  void AddVm(const std::string& id, const std::string& fabric) {
    vm_entry vm;
    vm.id = vm_id(id);
    vm.failure_domain = domain;
    vm.fabric_domain = fabric_domain_id(fabric);
    vm.address = id + ":1";
    vms.push_back(vm);
    Restart(vm.id);
  }

  void AddVms(const std::string& fabric, int count) {
    for (int number = 0; number < count; ++number) {
      AddVm(fabric + "-" + std::to_string(number), fabric);
    }
  }

  model_group_config& AddGroup(const std::string& id, std::uint32_t replicas, std::uint32_t size) {
    model_group_config& group = config.model_groups[model_group_id(id)].value;
    group.id = model_group_id(id);
    group.model = "model-" + id;
    group.failure_domains = {domain};
    group.replicas = replicas;
    group.vms_per_replica = size;
    return group;
  }

  void Restart(const vm_id& vm) {
    engine& restarted = engines[vm];
    const double speed = restarted.ms_per_token;
    restarted = engine{};
    restarted.ms_per_token = speed;
    restarted.started = now;
    restarted.truth.vm = vm;
    restarted.truth.failure_domain = domain;
    restarted.truth.incarnation = incarnation(random.Next());
  }

  void Kill(const vm_id& vm) { engines[vm].alive = false; }

  vm_entry& Entry(const vm_id& vm) {
    for (vm_entry& entry : vms) {
      if (entry.id == vm) return entry;
    }
    FAIL("the VM is not in the list");
    return vms.front();
  }

  /// Replaces the lease holder: the new one starts with an empty state and a higher fencing number,
  /// after the time in which orders of the earlier term can be in flight.
  void TakeOver() {
    for (int step = 0; step < 4; ++step) {
      now += kStep;
      Deliver();
      Poll();
    }
    state = planner_state{};
    fencing = fencing_number(fencing.get() + 1 + random.Below(1000));
  }

  void Step() {
    now += kStep;
    Deliver();
    Poll();
    Plan();
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) Step();
  }

  std::vector<assembled_replica> Assemble() const {
    return AssembleReplicas(reports, vms, config, now);
  }

  std::uint32_t Serving(const std::string& group) const {
    std::uint32_t count = 0;
    for (const assembled_replica& replica : Assemble()) {
      if (replica.serving() && replica.model_group == model_group_id(group)) ++count;
    }
    return count;
  }

  assembled_replica OnlyServing() const {
    std::vector<assembled_replica> serving;
    for (const assembled_replica& replica : Assemble()) {
      if (replica.serving()) serving.push_back(replica);
    }
    REQUIRE(serving.size() == 1);
    return serving.front();
  }

  std::size_t IdleEngines() const {
    std::size_t idle = 0;
    for (const auto& [id, item] : engines) {
      if (item.alive && !item.truth.assignment) ++idle;
    }
    return idle;
  }

  std::uint32_t Loading() const {
    std::uint32_t loading = 0;
    for (const auto& [id, item] : engines) {
      if (item.alive && item.truth.state == backend_state::kLoading) ++loading;
    }
    return loading;
  }

  const failure_domain_id domain{"kicukiro"};
  random_source random;
  configuration config;
  std::vector<vm_entry> vms;
  report_table reports;
  std::map<vm_id, engine> engines;
  planner_state state;
  fencing_number fencing{100};
  time_point now{std::chrono::hours(1)};
  std::vector<replica_order> last_orders;
  std::vector<replica_id> draining;
  /// One in `lose_one_in` orders is lost, and one in `duplicate_one_in` is late or delivered twice;
  /// 0 disables the fault.
  std::uint64_t lose_one_in = 0;
  std::uint64_t duplicate_one_in = 0;
  std::uint64_t orders_sent = 0;

 private:
  static replica_planner Make(const planner_options& options) {
    auto planner = replica_planner::Create(options);
    REQUIRE(planner);
    return std::move(*planner);
  }

  void Poll() {
    for (const vm_entry& vm : vms) {
      engine& item = engines[vm.id];
      if (!item.alive) continue;
      backend_report& truth = item.truth;
      if (truth.state == backend_state::kLoading && now >= item.ready_at) {
        truth.state = backend_state::kReady;
      }
      ++truth.sequence;
      truth.uptime = std::chrono::duration_cast<milliseconds>(now - item.started);
      truth.taken_at = now;
      truth.ms_per_token = truth.state == backend_state::kReady ? item.ms_per_token : 0;
      reports.Observe(truth, now);
    }
    reports.Retain(vms);
  }

  void Plan() {
    const std::set<vm_id> outstanding;
    plan_result planned =
        planner_.Plan({config, domain, vms, reports, fencing, outstanding, now}, std::move(state));
    state = std::move(planned.state);
    draining = std::move(planned.draining);
    last_orders = std::move(planned.orders);
    CheckOrders();
    for (const replica_order& order : last_orders) Send(order);
  }

  /// Checks that a VM is assigned to a replica only while its newest report shows no other replica
  /// and no order that assigns it to another replica can still reach it.
  void CheckOrders() {
    std::set<vm_id> targets;
    for (const replica_order& order : last_orders) {
      REQUIRE(targets.insert(order.target).second);
      if (order.kind != order_kind::kAssign) continue;
      const backend_report* report = reports.FindFresh(order.target, now);
      REQUIRE(report != nullptr);
      if (report->assignment) {
        REQUIRE(report->assignment->replica == order.replica);
        REQUIRE(report->assignment->generation < order.generation);
      }
      for (const delayed_order& pending : under_way_) {
        if (pending.order.target != order.target) continue;
        if (pending.order.kind != order_kind::kAssign) continue;
        REQUIRE(pending.order.replica == order.replica);
      }
      REQUIRE(order.members.at(order.rank).vm == order.target);
    }
  }

  void Send(const replica_order& order) {
    ++orders_sent;
    if (lose_one_in > 0 && random.Below(lose_one_in) == 0) return;
    const bool slow = duplicate_one_in > 0 && random.Below(duplicate_one_in) == 0;
    const milliseconds delay(slow ? 1000 + random.Below(900) : 1 + random.Below(400));
    under_way_.push_back({now + delay, order});
    if (duplicate_one_in == 0 || random.Below(duplicate_one_in) != 0) return;
    under_way_.push_back({now + milliseconds(random.Below(1900)), order});
  }

  void Deliver() {
    for (const delayed_order& item : under_way_) {
      if (item.arrives <= now) Execute(item.order);
    }
    std::erase_if(under_way_, [this](const delayed_order& item) { return item.arrives <= now; });
  }

  void Execute(const replica_order& order) {
    engine& item = engines[order.target];
    if (!item.alive) return;
    auto& held = item.truth.assignment;
    if (order.kind == order_kind::kRelease) {
      if (held && held->replica == order.replica && held->generation <= order.generation) {
        held.reset();
        item.truth.state = backend_state::kIdle;
      }
      return;
    }
    if (held && (held->replica != order.replica || held->generation >= order.generation)) return;
    const bool keeps_weights = held && held->rank == order.rank;
    held = backend_assignment{order.replica, order.model_group, order.generation, order.rank, {}};
    for (const replica_member& member : order.members) held->members.push_back(member.vm);
    if (keeps_weights) return;
    item.truth.state = backend_state::kLoading;
    item.ready_at = now + kLoadTime;
  }

  replica_planner planner_;
  std::vector<delayed_order> under_way_;
};

}  // namespace waxwingwing
