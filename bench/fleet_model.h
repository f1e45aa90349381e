#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/downtime_bound.h"
#include "bench/failure_trace.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/groups/replica_planner.h"

namespace waxwingwing {

struct fleet_options {
  fleet_shape shape;
  /// Weights that one VM loads, and the rate that all loading VMs share.
  double weight_bytes_per_vm = 0;
  double store_bytes_per_second = 0;
  std::size_t accelerators_per_vm = 2;
};

/// Cost of a run, and a lower bound of the cost that its failures cause.
struct fleet_result {
  double group_seconds_down = 0;
  double accelerator_seconds_stranded = 0;
  repair_cost bound;
  std::size_t failures = 0;
  /// Failures that took down a serving replica.
  std::size_t affected = 0;
  std::size_t orders = 0;
};

/// Discrete-event model of the engines of one failure domain under the control of a planner.
///
/// Engines are polled and the planner runs every 0.5 s while anything changes; otherwise neither
/// runs. Orders take effect at once; loads share the rate of the weight store evenly.
class fleet_model {
 public:
  fleet_model(const fleet_options& options, const configuration& config, replica_planner planner);

  /// Forms all replicas, then replays the failures and measures until `length` after the time from
  /// which failures could happen.
  fleet_result Run(const std::vector<failure_event>& failures, milliseconds length);

 private:
  struct slot {
    vm_entry entry;
    backend_report actual;
    bool listed = true;
    bool alive = true;
    bool reachable = true;
    time_point started{};
    double bytes_left = 0;
    /// Time at which the running requests of a replica that accepts no new ones have ended.
    time_point drained_at{};
    std::uint32_t instance = 0;
  };

  enum class timer_kind { kProcessUp, kDelist, kNewVm, kFabricBack };

  struct timer {
    time_point at;
    timer_kind kind;
    std::size_t index;
    /// Instance of the VM in the slot that the timer belongs to.
    std::uint32_t instance;

    bool operator>(const timer& other) const { return at > other.at; }
  };

  void StartVm(std::size_t index);
  void StartProcess(slot& item);
  void LoseProcess(slot& item);
  void AdvanceTo(time_point next);
  time_point NextTime(time_point end) const;
  time_point NextLoadEnd() const;
  void KeepActive(milliseconds settle);
  void ReadVmList();
  void Tick();
  void Poll();
  void Execute(const replica_order& order);
  void Fail(const failure_event& failure);
  void FailFabric(const failure_event& failure);
  void BeginLeaving(const failure_event& failure);
  void AddDowntimeBound(const failure_event& failure);
  bool IsAffected(const failure_event& failure, std::size_t index) const;
  void Apply(const timer& due);
  /// Counts serving replicas and stranded accelerators by the actual state, not by the reports.
  void Measure();
  std::optional<std::string> UsableReplica(const slot& item) const;

  const fleet_options options_;
  const configuration config_;
  const replica_planner planner_;
  const failure_domain_id domain_;
  random_source random_{1};
  std::vector<slot> slots_;
  std::unordered_map<vm_id, std::size_t> index_of_;
  report_table reports_;
  planner_state state_;
  std::vector<vm_entry> vms_;
  /// Whether anything changed since the last measurement.
  bool changed_ = true;
  bool list_changed_ = true;
  bool draining_ = false;
  time_point now_{std::chrono::hours(1)};
  time_point next_tick_{now_};
  time_point active_until_{};
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  double down_now_ = 0;
  double stranded_now_ = 0;
  fleet_result result_;
};

}  // namespace waxwingwing
