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

/// How a replica with a leaving member is handled while its fabric domain has spare VMs.
enum class leaving_policy {
  /// Form a successor when a fabric domain has enough free VMs for a complete replica, then drain
  /// the old replica.
  kFormFirst,
  /// Drain the replica, then replace the member. Loads one VM instead of all, but the replica takes
  /// no new requests until the member is replaced.
  kInPlace,
};

/// Settings of a `replica_planner`.
struct planner_options {
  /// `best_fit` or `first_fit`.
  std::string packing = "best_fit";
  /// `replace_member` or `reform`.
  std::string repair = "replace_member";
  spare_policy spares = spare_policy::kWarm;
  /// Maximum number of VMs of the failure domain that load weights concurrently.
  std::uint32_t max_loads = 4;
  leaving_policy leaving = leaving_policy::kFormFirst;
  /// A member whose newest report is older than this is replaced. Longer than the lifetime of a
  /// report: when an entry VM fails, no report arrives from the backend servers that it polled for
  /// 2 s plus a poll and a relay, and they must not be replaced because of that.
  milliseconds silence_timeout{4000};
  /// When at most this many VMs stopped reporting at the same time, the cause is not the failure of
  /// an entry VM, and a member is replaced as soon as its report has expired. A member that reports
  /// again before its substitute is ready gets its place back.
  std::uint32_t max_isolated_expired_reports = 2;
  /// Longest time between sending an order and its effect; an order without a confirming report is
  /// sent again after it.
  milliseconds order_timeout{2000};
  /// A draining replica is released after this time even if requests still run.
  milliseconds drain_limit{120000};
  /// A forming replica is released with all its members when no further member became ready for
  /// this time.
  milliseconds forming_limit{600000};
  /// A member whose time per token exceeds the median of the other members by this factor is slow.
  double straggler_factor = 3.0;
  /// A member that has been slow for this time is a straggler and is replaced.
  milliseconds straggler_time{10000};
};

enum class plan_phase {
  /// Since the replica or its current generation was planned, not all members have become ready.
  kForming,
  kServing,
  /// Is released once no request runs.
  kDraining,
};

/// The planned state of one replica: its members, generation and phase.
struct planned_replica {
  replica_id id;
  model_group_id model_group;
  std::string model;
  waxwingwing::generation generation;
  /// In rank order.
  std::vector<vm_id> members;
  /// Replaced members of the previous generation, by rank; kept until the replica is complete.
  std::map<std::uint32_t, vm_id> replaced;
  plan_phase phase = plan_phase::kForming;
  /// When a further member last became ready, or when the replica last waited for its turn to load;
  /// `forming_limit` counts from here.
  time_point last_progress_at{};
  std::uint32_t ready_members = 0;
  /// The predecessor, which is drained and released once this replica serves.
  std::optional<replica_id> replaces;
  /// When the wait for running requests began.
  std::optional<time_point> drain_since;
};

/// Per-VM state that the planner keeps between rounds.
struct vm_history {
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
  /// Model and rank whose weights the VM held last.
  std::string held_model;
  std::uint32_t held_rank = 0;
};

/// State that the planner keeps between rounds. A new lease holder starts with an empty state and
/// reconstructs the replicas from the reports.
struct planner_state {
  /// Time of the first round.
  std::optional<time_point> started_at;
  generation highest_generation;
  std::map<replica_id, planned_replica> replicas;
  std::map<vm_id, vm_history> vms;
  /// Released replicas that reports may still mention; they are not adopted again.
  std::set<replica_id> released;
};

/// Inputs of one planning round. Holds references; the caller keeps the referenced objects alive.
struct planner_input {
  const configuration& config;
  const failure_domain_id& domain;
  /// The VM list; entries of other domains and other roles are ignored.
  const std::vector<vm_entry>& vms;
  const report_table& reports;
  fencing_number fencing;
  /// VMs to which an order has been sent that is not yet answered; they get no further order in
  /// this round.
  const std::set<vm_id>& outstanding;
  time_point now;
};

struct plan_result {
  /// At most one order for each VM.
  std::vector<replica_order> orders;
  planner_state state;
  /// Draining replicas; they must not get new requests.
  std::vector<replica_id> draining;
};

}  // namespace waxwingwing
