#include "groups/replica_adopter.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {

replica_adopter::replica_adopter(const planner_input& input, planner_state& state, vm_pool& pool)
    : input_(input), state_(state), pool_(pool) {}

void replica_adopter::Run() {
  const bool first_round = !state_.started_at.has_value();
  if (first_round) state_.started_at = input_.now;
  for (const auto& [id, reported] : CollectUnknown()) {
    if (!IsConfigured(reported->model_group)) continue;
    planned_replica replica = MakePlan(*reported);
    const bool complete = IsConfirmed(replica);
    if (complete) replica.phase = plan_phase::kServing;
    if (first_round || complete) state_.replicas.emplace(id, std::move(replica));
  }
  ForgetReleased();
  pool_.SetOwners(state_);
}

replica_adopter::reported_assignments replica_adopter::CollectUnknown() const {
  reported_assignments unknown;
  for (const auto& [vm, view] : pool_.views()) {
    const backend_assignment* reported = view.Assignment();
    if (reported == nullptr || reported->members.empty()) continue;
    if (state_.replicas.contains(reported->replica) ||
        state_.released.contains(reported->replica)) {
      continue;
    }
    const backend_assignment*& held = unknown[reported->replica];
    if (held == nullptr || reported->generation > held->generation) held = reported;
  }
  return unknown;
}

bool replica_adopter::IsConfigured(const model_group_id& group) const {
  const auto found = input_.config.model_groups.find(group);
  if (found == input_.config.model_groups.end()) return false;
  const auto& domains = found->second.value.failure_domains;
  return std::find(domains.begin(), domains.end(), input_.domain) != domains.end();
}

planned_replica replica_adopter::MakePlan(const backend_assignment& reported) const {
  planned_replica replica;
  replica.id = reported.replica;
  replica.model_group = reported.model_group;
  // Reports do not name the model; a change of the model before the takeover is not detected.
  replica.model = input_.config.model_groups.at(reported.model_group).value.model;
  replica.generation = reported.generation;
  replica.members = reported.members;
  replica.last_progress_at = input_.now;
  return replica;
}

bool replica_adopter::IsConfirmed(const planned_replica& replica) const {
  for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
    const vm_view* view = pool_.Find(replica.members[rank]);
    if (view == nullptr || !view->fresh || view->Assignment() == nullptr) return false;
    const backend_assignment expected{replica.id, replica.model_group, replica.generation, rank,
                                      replica.members};
    if (*view->Assignment() != expected || view->report->state != backend_state::kReady) {
      return false;
    }
  }
  return true;
}

void replica_adopter::ForgetReleased() {
  if (state_.released.empty()) return;
  std::set<replica_id> mentioned;
  for (const auto& [vm, view] : pool_.views()) {
    const backend_assignment* reported = view.Assignment();
    if (reported != nullptr) mentioned.insert(reported->replica);
    // An assign order that seemed lost may still arrive, so its replica stays in the list for two
    // report lifetimes.
    const auto& sent = view.history->assign_sent_at;
    if (sent && input_.now - *sent <= kReportLifetime * 2) {
      mentioned.insert(view.history->assign_replica);
    }
  }
  std::erase_if(state_.released, [&](const replica_id& id) { return !mentioned.contains(id); });
}

}  // namespace waxwingwing
