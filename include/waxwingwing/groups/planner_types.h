#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/groups/replica_order.h"
#include "waxwingwing/membership/report_table.h"
#include "waxwingwing/membership/vm_entry.h"

namespace waxwingwing {

/// Which free VM replaces a lost member.
enum class spare_policy {
  /// Any free VM of the fabric domain.
  kCold,
  /// A VM that last held the same model and rank if there is one, since its weights may still be
  /// cached in host memory.
  kWarm,
};

struct planner_options {
  /// `best_fit` or `first_fit`.
  std::string packing = "best_fit";
  /// `replace_member` or `reform`.
  std::string repair = "replace_member";
  spare_policy spares = spare_policy::kWarm;
  /// VMs of the domain that load weights at a time.
  std::uint32_t max_loads = 4;
  /// A member whose newest report is older is replaced. Longer than the lifetime of a report: after
  /// the death of an entry VM its backend servers are silent for 2 s plus a poll and a relay, and
  /// must not be replaced for that.
  milliseconds silent_limit{4000};
  /// Longest time an order is under way; also the time after which it is repeated.
  milliseconds order_timeout{2000};
  /// A replica that leaves is released after this time even if requests still run.
  milliseconds drain_limit{120000};
  /// A replica that forms is released whole when no member became ready for this time.
  milliseconds forming_limit{600000};
  /// A member this many times slower than the median of the other members is a straggler ...
  double straggler_factor = 3.0;
  /// ... once it has been so for this time.
  milliseconds straggler_time{10000};
};

enum class plan_phase {
  /// Not all members were ready yet since the replica or its generation was planned.
  kForming,
  kServing,
  /// To be released once no request runs.
  kDraining,
};

/// A replica that the planner wants to exist.
struct planned_replica {
  replica_id id;
  model_group_id model_group;
  std::string model;
  waxwingwing::generation generation;
  /// In rank order.
  std::vector<vm_id> members;
  plan_phase phase = plan_phase::kForming;
  /// When the replica last came closer to being complete.
  time_point progress_at{};
  std::uint32_t ready_members = 0;
  /// The replica that is released once this one serves.
  std::optional<replica_id> replaces;
  /// When the wait for running requests began.
  std::optional<time_point> drain_since;
};

/// What the planner remembers about one VM.
struct vm_memory {
  /// When the last order of any kind was sent.
  std::optional<time_point> order_sent_at;
  /// When the last assign order was sent, its replica, and whether it makes the VM load weights.
  std::optional<time_point> assign_sent_at;
  replica_id assign_replica;
  bool assign_loads = false;
  /// Since when the VM generates tokens much slower than the other members of its replica.
  std::optional<time_point> slow_since;
  /// When the VM was replaced as a straggler or did not become ready; it is chosen last from then.
  std::optional<time_point> failed_at;
  /// Weights that the VM held last.
  std::string held_model;
  std::uint32_t held_rank = 0;
};

/// The planner's memory between rounds. A new lease holder starts with an empty one and takes over
/// what the reports show.
struct planner_state {
  /// Time of the first round.
  std::optional<time_point> started_at;
  generation highest_generation;
  std::map<replica_id, planned_replica> replicas;
  std::map<vm_id, vm_memory> vms;
  /// Replicas that were released while reports may still mention them.
  std::set<replica_id> released;
};

/// What one planning round is based on.
struct planner_input {
  const configuration& config;
  const failure_domain_id& domain;
  /// The VM list; entries of other domains and other roles are ignored.
  const std::vector<vm_entry>& vms;
  const report_table& reports;
  fencing_number fencing;
  /// VMs with an order under way; they get no further order in this round.
  const std::set<vm_id>& outstanding;
  time_point now;
};

struct plan_result {
  /// At most one order for each VM.
  std::vector<replica_order> orders;
  planner_state state;
  /// Replicas that should get no new requests since they will be released.
  std::vector<replica_id> draining;
};

}  // namespace waxwingwing
