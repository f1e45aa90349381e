#include "groups/vm_pool.h"

#include <algorithm>

namespace waxwingwing {

vm_pool::vm_pool(const planner_input& input, const planner_options& options, planner_state& state)
    : options_(options), now_(input.now) {
  for (const vm_entry& entry : input.vms) {
    if (entry.role != vm_role::kEngine || entry.failure_domain != input.domain) continue;
    AddView(input, entry, state);
  }
  MarkSilentOnIsolatedExpiry();
  std::erase_if(state.vms, [this](const auto& item) { return !views_.contains(item.first); });
  for (auto& [fabric, vms] : by_fabric_) std::sort(vms.begin(), vms.end());
}

void vm_pool::AddView(const planner_input& input, const vm_entry& entry, planner_state& state) {
  vm_view view;
  view.entry = &entry;
  view.report = input.reports.Find(entry.id);
  view.history = &state.vms[entry.id];
  if (view.report != nullptr) {
    const duration age = input.now - view.report->taken_at;
    view.fresh = age <= kReportLifetime;
    view.silent = age > options_.silence_timeout;
  } else {
    view.silent = state.started_at && input.now - *state.started_at > options_.silence_timeout;
  }
  if (views_.emplace(entry.id, view).second) by_fabric_[entry.fabric_domain].push_back(entry.id);
}

void vm_pool::MarkSilentOnIsolatedExpiry() {
  std::vector<vm_view*> vms_with_expired_report;
  for (auto& [id, view] : views_) {
    if (view.report != nullptr && !view.fresh && !view.silent)
      vms_with_expired_report.push_back(&view);
  }
  if (vms_with_expired_report.size() > options_.max_isolated_expired_reports) return;
  for (vm_view* view : vms_with_expired_report) view->silent = true;
}

vm_view* vm_pool::Find(const vm_id& vm) {
  const auto found = views_.find(vm);
  return found == views_.end() ? nullptr : &found->second;
}

const vm_view* vm_pool::Find(const vm_id& vm) const {
  const auto found = views_.find(vm);
  return found == views_.end() ? nullptr : &found->second;
}

void vm_pool::SetOwners(const planner_state& state) {
  for (auto& [id, view] : views_) view.owner = replica_id();
  for (const auto& [id, replica] : state.replicas) {
    for (const vm_id& member : replica.members) {
      vm_view* view = Find(member);
      if (view == nullptr) continue;
      const backend_assignment* assignment = view->Assignment();
      const bool reports_it = assignment != nullptr && assignment->replica == id;
      if (view->owner.empty() || reports_it) view->owner = id;
    }
  }
}

bool vm_pool::IsFree(const vm_view& view) const {
  if (!view.fresh || view.leaving() || !view.owner.empty()) return false;
  if (view.Assignment() != nullptr || view.report->state != backend_state::kIdle) return false;
  const auto& sent = view.history->assign_sent_at;
  // Without an answer it is unknown whether the VM received the order; only a report taken after
  // the order has expired shows that it did not.
  return !sent || view.report->taken_at >= *sent + options_.order_timeout;
}

std::size_t vm_pool::FreeCount(const fabric_domain_id& fabric) const {
  const auto found = by_fabric_.find(fabric);
  if (found == by_fabric_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(),
                    [this](const vm_id& vm) { return IsFree(views_.at(vm)); }));
}

std::size_t vm_pool::PendingReleaseCount(const fabric_domain_id& fabric) const {
  const auto found = by_fabric_.find(fabric);
  if (found == by_fabric_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(), [this](const vm_id& vm) {
        const vm_view& view = views_.at(vm);
        return view.fresh && !view.leaving() && view.owner.empty() && !IsFree(view);
      }));
}

std::vector<fabric_capacity> vm_pool::FreeVmsByFabric() const {
  std::vector<fabric_capacity> capacities;
  capacities.reserve(by_fabric_.size());
  for (const auto& [fabric, vms] : by_fabric_) capacities.push_back({fabric, FreeCount(fabric)});
  return capacities;
}

std::uint64_t vm_pool::AllocationCost(const vm_view& view, const std::string& model,
                                      std::uint32_t rank) const {
  const bool failed_before = view.history->failed_at.has_value();
  const bool warm = options_.spares == spare_policy::kWarm && view.history->held_model == model &&
                    view.history->held_rank == rank;
  return (failed_before ? 2U : 0U) + (warm ? 0U : 1U);
}

vm_id vm_pool::Allocate(const fabric_domain_id& fabric, const replica_id& owner,
                        const std::string& model, std::uint32_t rank) {
  vm_view* best = nullptr;
  for (const vm_id& vm : by_fabric_[fabric]) {
    vm_view& view = views_.at(vm);
    if (!IsFree(view)) continue;
    if (best == nullptr || AllocationCost(view, model, rank) < AllocationCost(*best, model, rank)) {
      best = &view;
    }
  }
  if (best == nullptr) return vm_id();
  best->owner = owner;
  return best->entry->id;
}

member_readiness vm_pool::ReadinessOf(const planned_replica& replica, std::uint32_t rank) const {
  const vm_view* view = Find(replica.members[rank]);
  if (view == nullptr || view->owner != replica.id || view->silent) return member_readiness::kLost;
  if (!view->fresh) return member_readiness::kUnknown;
  const backend_assignment* held = view->Assignment();
  const bool confirmed = held != nullptr && held->replica == replica.id &&
                         held->generation == replica.generation && held->rank == rank;
  if (!confirmed || !ReportsMembersOf(*view, replica)) return member_readiness::kWaiting;
  return view->report->state == backend_state::kReady ? member_readiness::kReady
                                                      : member_readiness::kLoading;
}

bool vm_pool::ReportsMembersOf(const vm_view& view, const planned_replica& replica) {
  // One comparison per generation is enough within a planning round, because every change of a
  // member list gets a new generation.
  if (view.compared_generation != replica.generation) {
    view.compared_generation = replica.generation;
    view.same_members = view.Assignment()->members == replica.members;
  }
  return view.same_members;
}

fabric_domain_id vm_pool::FabricOf(const planned_replica& replica) const {
  for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
    const vm_view* view = Find(replica.members[rank]);
    if (view != nullptr && view->owner == replica.id) return view->entry->fabric_domain;
  }
  return fabric_domain_id();
}

}  // namespace waxwingwing
