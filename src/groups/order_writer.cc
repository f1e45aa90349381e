#include "groups/order_writer.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <tuple>
#include <utility>

namespace waxwingwing {

order_writer::order_writer(const planner_input& input, const planner_options& options,
                           planner_state& state, vm_pool& pool)
    : input_(input), options_(options), state_(state), pool_(pool) {}

std::vector<replica_order> order_writer::Run() {
  SupersedeReportedGenerations();
  loads_ = CountLoads();
  ReleaseUnplanned();
  AssignMembers();
  return std::move(orders_);
}

bool order_writer::MayOrder(const vm_view& view) const {
  if (!view.fresh || input_.outstanding.contains(view.entry->id)) return false;
  const auto& sent = view.history->order_sent_at;
  // The last order is no longer outstanding; only a report taken after it was sent shows whether it
  // must be sent again.
  return !sent || view.report->taken_at > *sent;
}

bool order_writer::LeaderStillServes(const backend_assignment& held) const {
  if (held.rank == 0) return false;
  return std::any_of(pool_.views().begin(), pool_.views().end(), [&](const auto& item) {
    const vm_view& view = item.second;
    const backend_assignment* leader = view.fresh ? view.Assignment() : nullptr;
    if (leader == nullptr || leader->rank != 0 || leader->replica != held.replica) return false;
    if (leader->generation != held.generation) return false;
    const auto planned = state_.replicas.find(held.replica);
    return planned == state_.replicas.end() || view.owner != held.replica ||
           planned->second.generation != held.generation;
  });
}

replica_order order_writer::NewOrder(const vm_view& view, order_kind kind) const {
  replica_order order;
  order.kind = kind;
  order.target = view.entry->id;
  order.target_address = view.entry->address;
  order.fencing_number = input_.fencing;
  return order;
}

void order_writer::ReleaseUnplanned() {
  for (const auto& [id, view] : pool_.views()) {
    const backend_assignment* held = view.Assignment();
    if (held == nullptr || held->replica == view.owner || !MayOrder(view)) continue;
    if (LeaderStillServes(*held)) continue;
    replica_order order = NewOrder(view, order_kind::kRelease);
    order.replica = held->replica;
    order.model_group = held->model_group;
    order.generation = held->generation;
    order.rank = held->rank;
    orders_.push_back(std::move(order));
    view.history->order_sent_at = input_.now;
  }
  // The map of views is unordered; sorting keeps the result deterministic.
  std::sort(orders_.begin(), orders_.end(),
            [](const auto& left, const auto& right) { return left.target < right.target; });
}

void order_writer::SupersedeReportedGenerations() {
  plan_editor editor(input_, state_, pool_);
  for (auto& [id, replica] : state_.replicas) {
    bool superseded = false;
    for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
      const vm_view* view = pool_.Find(replica.members[rank]);
      if (view == nullptr || view->owner != id) continue;
      const backend_assignment* held = view->Assignment();
      if (held == nullptr || held->replica != id || held->generation < replica.generation) continue;
      superseded = superseded || held->generation > replica.generation ||
                   pool_.ReadinessOf(replica, rank) == member_readiness::kWaiting;
    }
    if (superseded) replica.generation = editor.NewGeneration();
  }
}

std::vector<planned_replica*> order_writer::LoadOrder() {
  std::vector<std::tuple<std::uint32_t, std::uint32_t, replica_id>> keyed;
  for (const auto& [id, replica] : state_.replicas) {
    const auto group = input_.config.model_groups.find(replica.model_group);
    if (group == input_.config.model_groups.end() || replica.phase == plan_phase::kDraining) {
      continue;
    }
    std::uint32_t missing = 0;
    for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
      if (pool_.ReadinessOf(replica, rank) != member_readiness::kReady) ++missing;
    }
    if (missing > 0) keyed.emplace_back(group->second.value.priority, missing, id);
  }
  std::sort(keyed.begin(), keyed.end());
  std::vector<planned_replica*> ordered;
  ordered.reserve(keyed.size());
  for (const auto& key : keyed) ordered.push_back(&state_.replicas.at(std::get<2>(key)));
  return ordered;
}

void order_writer::AssignMembers() {
  for (planned_replica* replica : LoadOrder()) {
    for (std::uint32_t rank = 0; rank < replica->members.size(); ++rank) {
      AssignMember(*replica, rank);
    }
  }
}

void order_writer::AssignMember(planned_replica& replica, std::uint32_t rank) {
  if (pool_.ReadinessOf(replica, rank) != member_readiness::kWaiting) return;
  const vm_view& view = *pool_.Find(replica.members[rank]);
  const backend_assignment* held = view.Assignment();
  if (held != nullptr && held->replica != replica.id) return;
  if (held != nullptr && LeaderStillServes(*held)) return;
  if (!MayOrder(view)) return;
  const bool loads = NeedsLoad(replica, rank, view);
  if (loads && loads_ >= options_.max_loads) return;
  if (loads) ++loads_;
  replica_order order = NewOrder(view, order_kind::kAssign);
  order.replica = replica.id;
  order.model_group = replica.model_group;
  order.generation = replica.generation;
  order.rank = rank;
  order.model = replica.model;
  for (const vm_id& member : replica.members) {
    const vm_view* other = pool_.Find(member);
    order.members.push_back({member, other == nullptr ? "" : other->entry->address});
  }
  vm_history& history = *view.history;
  history.order_sent_at = input_.now;
  history.assign_sent_at = input_.now;
  history.assign_replica = replica.id;
  history.assign_loads = loads;
  history.held_model = replica.model;
  history.held_rank = rank;
  orders_.push_back(std::move(order));
}

bool order_writer::NeedsLoad(const planned_replica& replica, std::uint32_t rank,
                             const vm_view& view) const {
  const backend_assignment* held = view.Assignment();
  return held == nullptr || held->replica != replica.id || held->rank != rank;
}

std::uint32_t order_writer::CountLoads() const {
  std::uint32_t loads = 0;
  for (const auto& [id, view] : pool_.views()) {
    if (!view.fresh) continue;
    const auto& sent = view.history->assign_sent_at;
    const bool under_way = view.history->assign_loads && sent &&
                           input_.now - *sent < options_.order_timeout &&
                           view.Assignment() == nullptr;
    if (view.report->state == backend_state::kLoading || under_way) ++loads;
  }
  return loads;
}

}  // namespace waxwingwing
