#include "groups/plan_editor.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace waxwingwing {
namespace {

/// The low 20 bits of a generation number the plans within one lease term; the higher bits hold the
/// fencing number. An overflow into the range of the next fencing number is harmless, because
/// `NewGeneration` also exceeds every generation that a VM reports.
constexpr std::uint64_t kGenerationBitsPerLeaseTerm = 20;

}  // namespace

plan_editor::plan_editor(const planner_input& input, planner_state& state, vm_pool& pool)
    : input_(input), state_(state), pool_(pool) {}

generation plan_editor::NewGeneration() {
  const generation first(input_.fencing.get() << kGenerationBitsPerLeaseTerm);
  generation highest = std::max(state_.highest_generation, first);
  for (const auto& [vm, view] : pool_.views()) {
    const backend_assignment* assignment = view.Assignment();
    if (assignment != nullptr) highest = std::max(highest, assignment->generation);
  }
  state_.highest_generation = highest.Next();
  return state_.highest_generation;
}

planned_replica& plan_editor::Form(const model_group_config& group, const fabric_domain_id& fabric,
                                   std::optional<replica_id> replaces) {
  planned_replica replica;
  replica.generation = NewGeneration();
  replica.id = replica_id(
      fmt::format("{}.{}.{}", group.id.str(), input_.domain.str(), replica.generation.get()));
  replica.model_group = group.id;
  replica.model = group.model;
  replica.last_progress_at = input_.now;
  replica.replaces = std::move(replaces);
  for (std::uint32_t rank = 0; rank < group.vms_per_replica; ++rank) {
    replica.members.push_back(pool_.Allocate(fabric, replica.id, group.model, rank));
    assert(!replica.members.back().empty());
  }
  return state_.replicas.insert_or_assign(replica.id, std::move(replica)).first->second;
}

void plan_editor::ReplaceMembers(planned_replica& replica,
                                 const std::vector<std::uint32_t>& ranks) {
  const fabric_domain_id fabric = pool_.FabricOf(replica);
  for (const std::uint32_t rank : ranks) {
    vm_view* old_view = pool_.Find(replica.members[rank]);
    if (old_view != nullptr && old_view->owner == replica.id) old_view->owner = replica_id();
    // `try_emplace` keeps the member of the last complete generation, the only one that may still
    // hold the weights.
    replica.replaced.try_emplace(rank, replica.members[rank]);
    // The old member does not count as free here, because it is silent, leaving or holds an
    // assignment.
    replica.members[rank] = pool_.Allocate(fabric, replica.id, replica.model, rank);
    assert(!replica.members[rank].empty());
  }
  replica.generation = NewGeneration();
  replica.phase = plan_phase::kForming;
  replica.last_progress_at = input_.now;
  replica.ready_members = 0;
  replica.drain_since.reset();
}

void plan_editor::RestoreReplacedMembers(planned_replica& replica) {
  bool changed = false;
  for (auto item = replica.replaced.begin(); item != replica.replaced.end();) {
    const auto& [rank, member] = *item;
    vm_view* view = pool_.Find(member);
    const backend_assignment* held = view == nullptr ? nullptr : view->Assignment();
    const bool usable = held != nullptr && view->fresh && !view->leaving() && view->owner.empty() &&
                        held->replica == replica.id && held->rank == rank &&
                        view->report->state == backend_state::kReady;
    if (!usable || pool_.ReadinessOf(replica, rank) == member_readiness::kReady) {
      ++item;
      continue;
    }
    vm_view* substitute = pool_.Find(replica.members[rank]);
    if (substitute != nullptr && substitute->owner == replica.id) substitute->owner = replica_id();
    view->owner = replica.id;
    replica.members[rank] = member;
    item = replica.replaced.erase(item);
    changed = true;
  }
  if (changed) replica.generation = NewGeneration();
}

void plan_editor::Drain(planned_replica& replica) {
  if (replica.phase == plan_phase::kDraining) return;
  replica.phase = plan_phase::kDraining;
  replica.drain_since = input_.now;
}

void plan_editor::Release(const replica_id& id) {
  const auto found = state_.replicas.find(id);
  assert(found != state_.replicas.end());
  for (const vm_id& member : found->second.members) {
    vm_view* view = pool_.Find(member);
    if (view != nullptr && view->owner == id) view->owner = replica_id();
  }
  state_.released.insert(id);
  state_.replicas.erase(found);
}

}  // namespace waxwingwing
