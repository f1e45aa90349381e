#include "groups/planning_round.h"

#include <algorithm>
#include <tuple>

namespace waxwingwing {

planning_round::planning_round(const planner_input& input, const planner_options& options,
                               const packing_strategy& packing, const repair_strategy& repair,
                               planner_state& state, vm_pool& pool)
    : input_(input),
      options_(options),
      packing_(packing),
      repair_(repair),
      state_(state),
      pool_(pool),
      editor_(input, state, pool) {}

void planning_round::Run() {
  UpdatePhases();
  DrainUnwanted();
  // A domain that is out keeps its loaded replicas, since it may come back in, but no VM is
  // allocated for repairs.
  if (!IsDomainIn()) return;
  RepairBroken();
  ReleaseVmsForUnrepairable();
  ReplaceUnwantedMembers();
  FormMissing();
}

const model_group_config* planning_round::ConfigOf(const planned_replica& replica) const {
  const auto found = input_.config.model_groups.find(replica.model_group);
  if (found == input_.config.model_groups.end()) return nullptr;
  const auto& domains = found->second.value.failure_domains;
  const bool here = std::find(domains.begin(), domains.end(), input_.domain) != domains.end();
  return here ? &found->second.value : nullptr;
}

bool planning_round::IsDomainIn() const {
  const auto found = input_.config.failure_domains.find(input_.domain);
  return found != input_.config.failure_domains.end() &&
         found->second.value.state == domain_state::kIn;
}

std::vector<replica_id> planning_round::ByPriority() const {
  std::vector<std::pair<std::uint32_t, replica_id>> keyed;
  for (const auto& [id, replica] : state_.replicas) {
    const model_group_config* group = ConfigOf(replica);
    if (group != nullptr) keyed.emplace_back(group->priority, id);
  }
  std::sort(keyed.begin(), keyed.end());
  std::vector<replica_id> ids;
  ids.reserve(keyed.size());
  for (auto& item : keyed) ids.push_back(std::move(item.second));
  return ids;
}

bool planning_round::HasSuccessor(const replica_id& id) const {
  return std::any_of(state_.replicas.begin(), state_.replicas.end(),
                     [&](const auto& item) { return item.second.replaces == id; });
}

void planning_round::UpdatePhases() {
  std::vector<replica_id> ids;
  for (const auto& [id, replica] : state_.replicas) ids.push_back(id);
  for (const replica_id& id : ids) {
    // An earlier step of this loop may have released the replica.
    const auto found = state_.replicas.find(id);
    if (found != state_.replicas.end()) UpdatePhase(found->second);
  }
}

void planning_round::UpdatePhase(planned_replica& replica) {
  if (replica.phase == plan_phase::kForming) editor_.RestoreReplacedMembers(replica);
  TrackStragglers(replica, pool_, options_, input_.now);
  replica_health health = ExamineReplica(replica, pool_, options_, input_.now);
  if (replica.phase == plan_phase::kDraining) {
    if (IsDrained(replica, pool_, options_, input_.now)) editor_.Release(replica.id);
    return;
  }
  RecordProgress(replica, health);
  const bool late = input_.now - replica.last_progress_at > options_.forming_limit;
  if (replica.phase == plan_phase::kForming && !health.complete && late) {
    FailForming(replica, health);
    return;
  }
  if (health.complete) {
    replica.phase = plan_phase::kServing;
    replica.replaced.clear();
    CompleteSuccession(replica);
    if (health.unwanted.empty()) ReleaseSuccessorOf(replica.id);
  }
  health_[replica.id] = std::move(health);
}

void planning_round::RecordProgress(planned_replica& replica, const replica_health& health) {
  const bool advanced = health.ready > replica.ready_members;
  // Waiting for a free load slot does not count towards the forming limit.
  const bool waits_for_turn = health.loading == 0 && !WasOrderedRecently(replica);
  if (advanced || waits_for_turn) replica.last_progress_at = input_.now;
  replica.ready_members = health.ready;
}

bool planning_round::WasOrderedRecently(const planned_replica& replica) const {
  for (const vm_id& member : replica.members) {
    const vm_view* view = pool_.Find(member);
    if (view == nullptr || view->history->assign_replica != replica.id) continue;
    const auto& sent = view->history->assign_sent_at;
    if (sent && input_.now - *sent <= 2 * options_.order_timeout) return true;
  }
  return false;
}

void planning_round::CompleteSuccession(planned_replica& replica) {
  if (!replica.replaces) return;
  const auto old = state_.replicas.find(*replica.replaces);
  replica.replaces.reset();
  if (old != state_.replicas.end()) editor_.Drain(old->second);
}

void planning_round::ReleaseSuccessorOf(const replica_id& id) {
  for (const auto& [other, replica] : state_.replicas) {
    if (replica.replaces != id) continue;
    editor_.Release(other);
    return;
  }
}

void planning_round::FailForming(const planned_replica& replica, const replica_health& health) {
  for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
    vm_view* view = pool_.Find(replica.members[rank]);
    if (view == nullptr || view->owner != replica.id) continue;
    const bool ready = pool_.ReadinessOf(replica, rank) == member_readiness::kReady;
    if (!ready && health.ready > 0) view->history->failed_at = input_.now;
  }
  editor_.Release(replica.id);
}

void planning_round::DrainUnwanted() {
  for (auto& [id, replica] : state_.replicas) {
    if (ConfigOf(replica) == nullptr) editor_.Drain(replica);
  }
  for (const auto& [id, group] : input_.config.model_groups) DrainSurplus(group.value);
}

void planning_round::DrainSurplus(const model_group_config& group) {
  // Incomplete replicas are removed first, then those with the highest generation.
  std::vector<std::tuple<bool, generation, replica_id>> candidates;
  for (const auto& [id, replica] : state_.replicas) {
    const bool counts = replica.model_group == group.id && replica.phase != plan_phase::kDraining;
    if (!counts || ConfigOf(replica) == nullptr || HasSuccessor(id)) continue;
    candidates.emplace_back(health_[id].complete, replica.generation, id);
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
    if (std::get<0>(left) != std::get<0>(right)) return !std::get<0>(left);
    return std::get<1>(left) > std::get<1>(right);
  });
  if (candidates.size() <= group.replicas) return;
  candidates.resize(candidates.size() - group.replicas);
  for (const auto& candidate : candidates) {
    planned_replica& replica = state_.replicas.at(std::get<2>(candidate));
    if (replica.replaces && state_.replicas.contains(*replica.replaces)) {
      editor_.Drain(state_.replicas.at(*replica.replaces));
    }
    replica.replaces.reset();
    if (replica.phase == plan_phase::kForming) {
      editor_.Release(std::get<2>(candidate));
    } else {
      editor_.Drain(replica);
    }
  }
}

void planning_round::RepairBroken() {
  for (const replica_id& id : ByPriority()) {
    const auto found = state_.replicas.find(id);
    if (found == state_.replicas.end()) continue;
    planned_replica& replica = found->second;
    const replica_health& health = health_[id];
    if (replica.phase == plan_phase::kDraining || health.lost.empty()) continue;
    Repair(replica, *ConfigOf(replica), health);
  }
}

void planning_round::Repair(planned_replica& replica, const model_group_config& group,
                            const replica_health& health) {
  if (HasSuccessor(replica.id)) {
    unrepairable_.insert(replica.id);
    return;
  }
  const fabric_domain_id fabric = pool_.FabricOf(replica);
  repair_case situation;
  situation.lost_members = health.lost.size();
  situation.spares = pool_.FreeCount(fabric);
  situation.survivors = replica.members.size() - health.lost.size();
  situation.vms_per_replica = group.vms_per_replica;
  const auto other = ChooseFabric(group);
  situation.fits_replica = other.has_value();
  switch (repair_.Choose(situation)) {
    case repair_action::kReplaceMembers:
      editor_.ReplaceMembers(replica, health.lost);
      return;
    case repair_action::kFormSuccessor:
      // A successor that itself loses members keeps its predecessor until a further successor
      // serves.
      editor_.Form(group, *other, replica.id);
      unrepairable_.insert(replica.id);
      return;
    case repair_action::kRelease:
      editor_.Release(replica.id);
      return;
    case repair_action::kWait:
      unrepairable_.insert(replica.id);
      return;
  }
}

void planning_round::ReleaseVmsForUnrepairable() {
  for (const replica_id& id : ByPriority()) {
    if (!unrepairable_.contains(id) || HasSuccessor(id)) continue;
    // An earlier turn of this loop may have released the replica.
    const auto found = state_.replicas.find(id);
    if (found == state_.replicas.end()) continue;
    const std::uint32_t priority = ConfigOf(found->second)->priority;
    ReleaseDonors(priority, id, pool_.FabricOf(found->second), health_[id].lost.size());
  }
}

void planning_round::ReplaceUnwantedMembers() {
  for (const replica_id& id : ByPriority()) {
    const auto found = state_.replicas.find(id);
    if (found == state_.replicas.end()) continue;
    planned_replica& replica = found->second;
    const replica_health& health = health_[id];
    const bool in_service = replica.phase == plan_phase::kServing && health.complete;
    if (!in_service || HasSuccessor(id)) continue;
    if (IsOutdated(replica)) {
      ReplaceOutdated(replica, *ConfigOf(replica));
      continue;
    }
    if (health.unwanted.empty()) {
      // The VM list may change a leaving VM back to live; the drain then ends.
      replica.drain_since.reset();
      continue;
    }
    ReplaceUnwanted(replica, *ConfigOf(replica), health);
  }
}

bool planning_round::IsOutdated(const planned_replica& replica) const {
  const model_group_config& group = *ConfigOf(replica);
  return replica.model != group.model || replica.members.size() != group.vms_per_replica;
}

void planning_round::ReplaceOutdated(planned_replica& replica, const model_group_config& group) {
  if (const auto fabric = ChooseFabric(group)) {
    replica.drain_since.reset();
    editor_.Form(group, *fabric, replica.id);
    return;
  }
  // Without enough free VMs for a successor, the replicas of the group are drained one at a time.
  for (const auto& [id, other] : state_.replicas) {
    if (id == replica.id || other.model_group != group.id) continue;
    if (other.phase != plan_phase::kServing || other.drain_since) return;
  }
  editor_.Drain(replica);
}

void planning_round::ReplaceUnwanted(planned_replica& replica, const model_group_config& group,
                                     const replica_health& health) {
  for (const std::uint32_t rank : health.unwanted) {
    pool_.Find(replica.members[rank])->history->failed_at = input_.now;
  }
  const bool enough_spares = pool_.FreeCount(pool_.FabricOf(replica)) >= health.unwanted.size();
  if (replica.drain_since) {
    if (enough_spares && IsDrained(replica, pool_, options_, input_.now)) {
      editor_.ReplaceMembers(replica, health.unwanted);
    }
    return;
  }
  const bool leaves =
      std::any_of(health.unwanted.begin(), health.unwanted.end(),
                  [&](std::uint32_t rank) { return pool_.Find(replica.members[rank])->leaving(); });
  const bool in_place = leaves && options_.leaving == leaving_policy::kInPlace && enough_spares;
  const auto fabric = ChooseFabric(group);
  if (fabric && !in_place) {
    editor_.Form(group, *fabric, replica.id);
  } else if (enough_spares) {
    replica.drain_since = input_.now;
  }
}

void planning_round::FormMissing() {
  std::vector<std::pair<std::uint32_t, const model_group_config*>> groups;
  for (const auto& [id, group] : input_.config.model_groups) {
    const auto& domains = group.value.failure_domains;
    if (std::find(domains.begin(), domains.end(), input_.domain) == domains.end()) continue;
    groups.emplace_back(group.value.priority, &group.value);
  }
  std::stable_sort(groups.begin(), groups.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  for (const auto& [priority, group] : groups) {
    for (std::uint32_t count = CountReplicas(group->id); count < group->replicas; ++count) {
      const auto fabric = ChooseFabric(*group);
      if (!fabric) {
        ReleaseDonors(priority, replica_id(), fabric_domain_id(), group->vms_per_replica);
        break;
      }
      editor_.Form(*group, *fabric, std::nullopt);
    }
  }
}

std::uint32_t planning_round::CountReplicas(const model_group_id& group) const {
  std::uint32_t count = 0;
  for (const auto& [id, replica] : state_.replicas) {
    const bool counts = replica.model_group == group && replica.phase != plan_phase::kDraining;
    if (counts && !HasSuccessor(id)) ++count;
  }
  return count;
}

std::optional<fabric_domain_id> planning_round::ChooseFabric(
    const model_group_config& group) const {
  const std::vector<fabric_capacity> capacities = pool_.FreeVmsByFabric();
  // A fabric domain without free VMs cannot repair the replica, so a domain in which as many as
  // possible of the configured spares remain free is preferred.
  for (std::size_t spares = group.spares; spares > 0; --spares) {
    auto with_spares = packing_.Choose(capacities, group.vms_per_replica + spares);
    if (with_spares) return with_spares;
  }
  return packing_.Choose(capacities, group.vms_per_replica);
}

void planning_round::ReleaseDonors(std::uint32_t priority, const replica_id& id,
                                   const fabric_domain_id& only, std::size_t needed) {
  std::map<fabric_domain_id, std::vector<replica_id>> donors;
  for (const replica_id& other : unrepairable_) {
    const auto found = state_.replicas.find(other);
    if (found == state_.replicas.end() || ConfigOf(found->second) == nullptr) continue;
    const auto key = std::make_pair(ConfigOf(found->second)->priority, other);
    if (!HasSuccessor(other) && key <= std::make_pair(priority, id)) continue;
    const fabric_domain_id fabric = pool_.FabricOf(found->second);
    if (fabric.empty() || (!only.empty() && fabric != only)) continue;
    donors[fabric].push_back(other);
  }
  for (const fabric_capacity& capacity : pool_.FreeVmsByFabric()) {
    const bool usable = only.empty() || capacity.fabric == only;
    // Earlier releases suffice; the VMs have not confirmed them yet.
    if (usable && capacity.free + pool_.PendingReleaseCount(capacity.fabric) >= needed) return;
  }
  for (const auto& [fabric, replicas] : donors) {
    std::size_t capacity = pool_.FreeCount(fabric) + pool_.PendingReleaseCount(fabric);
    for (const replica_id& donor : replicas) {
      capacity += health_[donor].ready + health_[donor].loading;
    }
    if (capacity < needed) continue;
    for (const replica_id& donor : replicas) editor_.Release(donor);
    return;
  }
}

}  // namespace waxwingwing
