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

/// One engine VM of the domain in a planning round.
struct vm_view {
  const vm_entry* entry = nullptr;
  /// Newest report of any age; null when there is none.
  const backend_report* report = nullptr;
  /// The report is young enough to act on.
  bool fresh = false;
  /// The VM was silent for so long that it counts as lost.
  bool silent = false;
  /// The replica in the plan that the VM belongs to; empty when there is none.
  replica_id owner;
  vm_memory* memory = nullptr;
  /// Result of the last comparison of the reported members with the planned ones.
  mutable std::optional<generation> compared_generation;
  mutable bool same_members = false;

  const backend_assignment* Assignment() const {
    return report != nullptr && report->assignment ? &*report->assignment : nullptr;
  }
  bool leaving() const { return entry->state == vm_state::kLeaving; }
};

enum class member_condition {
  kReady,
  kLoading,
  /// Reports, but not the planned assignment.
  kWaiting,
  /// Silent, but not yet for long enough to be lost.
  kUnknown,
  kLost,
};

/// The engine VMs of the planner's domain: their state, who owns them and which are free.
class vm_pool {
 public:
  vm_pool(const planner_input& input, const planner_options& options, planner_state& state);

  vm_view* Find(const vm_id& vm);
  const vm_view* Find(const vm_id& vm) const;
  std::unordered_map<vm_id, vm_view>& views() { return views_; }
  const std::unordered_map<vm_id, vm_view>& views() const { return views_; }

  /// Gives each VM to the planned replica it reports, else to the first one that names it.
  void SetOwners(const planner_state& state);

  /// Whether the VM can be put into another replica now: it reports that it holds nothing, and no
  /// earlier assign order can still reach it.
  bool IsFree(const vm_view& view) const;
  std::size_t FreeCount(const fabric_domain_id& fabric) const;
  /// VMs that no replica owns and that will be free once they have confirmed a release.
  std::size_t FreeingCount(const fabric_domain_id& fabric) const;
  /// Free VMs by fabric domain, in the order of the ids.
  std::vector<fabric_room> Rooms() const;
  /// Takes a free VM of the fabric domain for a rank of `model`; empty id when there is none.
  vm_id Take(const fabric_domain_id& fabric, const replica_id& owner, const std::string& model,
             std::uint32_t rank);

  member_condition ConditionOf(const planned_replica& replica, std::uint32_t rank) const;
  /// Fabric domain of the members; empty when no member is listed.
  fabric_domain_id FabricOf(const planned_replica& replica) const;

 private:
  void AddView(const planner_input& input, const vm_entry& entry, planner_state& state);
  static bool HasMembersOf(const vm_view& view, const planned_replica& replica);
  void ExpireFewSilent();
  std::uint64_t Preference(const vm_view& view, const std::string& model, std::uint32_t rank) const;

  const planner_options& options_;
  const time_point now_;
  std::unordered_map<vm_id, vm_view> views_;
  /// In the order of the ids.
  std::map<fabric_domain_id, std::vector<vm_id>> by_fabric_;
};

}  // namespace waxwingwing
