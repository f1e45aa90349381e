#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "waxwingwing/groups/packing_strategy.h"
#include "waxwingwing/groups/planner_types.h"

namespace waxwingwing {

/// An engine VM of the failure domain, as one planning round sees it.
struct vm_view {
  const vm_entry* entry = nullptr;
  /// Newest report of any age; null when there is none.
  const backend_report* report = nullptr;
  /// Whether the report is within its lifetime, so that orders may be based on it.
  bool fresh = false;
  /// Whether the VM has not reported for so long that it counts as lost.
  bool silent = false;
  /// The planned replica that the VM belongs to; empty when there is none.
  replica_id owner;
  vm_history* history = nullptr;
  /// Cached result of the last comparison of the reported members with the planned ones.
  mutable std::optional<generation> compared_generation;
  mutable bool same_members = false;

  const backend_assignment* Assignment() const {
    return report != nullptr && report->assignment ? &*report->assignment : nullptr;
  }
  bool leaving() const { return entry->state == vm_state::kLeaving; }
};

enum class member_readiness {
  kReady,
  kLoading,
  /// The VM reports, but not the planned assignment.
  kWaiting,
  /// The newest report has expired, but not for long enough for the VM to count as lost.
  kUnknown,
  kLost,
};

/// The engine VMs of the planner's failure domain, with their state and the replicas that own them.
/// Allocates free VMs to replicas.
class vm_pool {
 public:
  vm_pool(const planner_input& input, const planner_options& options, planner_state& state);

  vm_view* Find(const vm_id& vm);
  const vm_view* Find(const vm_id& vm) const;
  std::unordered_map<vm_id, vm_view>& views() { return views_; }
  const std::unordered_map<vm_id, vm_view>& views() const { return views_; }

  /// Sets the owner of each VM to the planned replica that it reports, or else to the first one
  /// that lists it as a member.
  void SetOwners(const planner_state& state);

  /// Whether the VM can be assigned to another replica now: it reports no assignment, and no
  /// earlier assign order can still reach it.
  bool IsFree(const vm_view& view) const;
  std::size_t FreeCount(const fabric_domain_id& fabric) const;
  /// Number of VMs that no replica owns and that become free once they have confirmed a release.
  std::size_t PendingReleaseCount(const fabric_domain_id& fabric) const;
  /// Number of free VMs in each fabric domain, sorted by fabric domain id.
  std::vector<fabric_capacity> FreeVmsByFabric() const;
  /// Allocates a free VM of the fabric domain to a rank of `model` in the replica `owner`; returns
  /// an empty id when there is none.
  vm_id Allocate(const fabric_domain_id& fabric, const replica_id& owner, const std::string& model,
                 std::uint32_t rank);

  member_readiness ReadinessOf(const planned_replica& replica, std::uint32_t rank) const;
  /// Fabric domain of the members; empty when no member is listed.
  fabric_domain_id FabricOf(const planned_replica& replica) const;

 private:
  void AddView(const planner_input& input, const vm_entry& entry, planner_state& state);
  static bool ReportsMembersOf(const vm_view& view, const planned_replica& replica);
  void MarkSilentOnIsolatedExpiry();
  std::uint64_t AllocationCost(const vm_view& view, const std::string& model,
                               std::uint32_t rank) const;

  const planner_options& options_;
  const time_point now_;
  std::unordered_map<vm_id, vm_view> views_;
  /// VM ids of each fabric domain, sorted.
  std::map<fabric_domain_id, std::vector<vm_id>> by_fabric_;
};

}  // namespace waxwingwing
