#include "waxwingwing/formation/group_planner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "waxwingwing/formation/group_name.h"

namespace waxwingwing {
namespace {

bool IsReadyState(membership_state state) {
  return state == membership_state::kReady || state == membership_state::kOpen;
}

bool HasStaged(const backend_server& server, const std::string& model) {
  return std::find(server.staged.begin(), server.staged.end(), model) != server.staged.end();
}

join_cost JoinCostOf(const backend_server& server, const std::string& model) {
  if (server.model == model) return join_cost::kNone;
  return HasStaged(server, model) ? join_cost::kFromHost : join_cost::kFromStore;
}

/// Whether the answer to a `leave` proves that its target is not a member of the group, or no
/// longer: the order was carried out, the target is in another group or in none, or another server
/// has the address, which shows that the target has ended. Any other error says nothing about the
/// target's membership.
bool ProvesDeparture(order_outcome outcome) {
  return outcome == order_outcome::kAccepted || outcome == order_outcome::kConflict ||
         outcome == order_outcome::kWrongServer;
}

}  // namespace

const char* NameOf(release_reason reason) {
  static constexpr std::array kNames = {"never_opened", "head_left",   "head_registered_elsewhere",
                                        "head_broken",  "head_silent", "head_never_seen"};
  return kNames.at(static_cast<std::size_t>(reason));
}

void group_planner::Reset(std::uint64_t epoch_floor) {
  groups_.clear();
  servers_.clear();
  released_groups_.clear();
  loads_.clear();
  missing_since_.clear();
  assigned_.clear();
  highest_epoch_ = std::max(highest_epoch_, epoch_floor);
}

std::vector<formation_order> group_planner::Plan(const service_settings& service,
                                                 const server_directory& directory,
                                                 time_point now) {
  service_ = &service;
  directory_ = &directory;
  now_ = now;
  orders_.clear();
  busy_ = false;
  ObserveServers();
  AdoptGroups();
  AdvanceGroups();
  FormMissingGroups();
  service_ = nullptr;
  directory_ = nullptr;
  return std::move(orders_);
}

void group_planner::RecordOutcome(const formation_order& order, order_outcome outcome,
                                  time_point now) {
  server_record& server = servers_[order.target];
  server.order_pending = false;
  if (outcome != order_outcome::kAccepted && outcome != order_outcome::kNoAnswer) {
    server.repeat_after = now + options_.rejected_retry;
  }
  if (outcome == order_outcome::kNoAnswer && order.action == formation_action::kJoin) {
    server.unanswered_since = server.unanswered_since.value_or(now);
    ++server.unanswered_probes;
  } else if (outcome != order_outcome::kNoAnswer && outcome != order_outcome::kUnreachable) {
    server.unanswered_since.reset();
    server.unanswered_probes = 0;
  }
  // Other orders may be refused repeatedly, and only joins depend on the epochs that were seen.
  if (outcome == order_outcome::kOutdated && order.action == formation_action::kJoin) {
    highest_epoch_ += 1000;
  }
  const auto found = groups_.find(order.group);
  if (found == groups_.end()) return;
  group_record& group = found->second;
  if (order.action == formation_action::kLeave && ProvesDeparture(outcome)) {
    if (order.target == group.members.front()) {
      group.released_by = release_reason::kHeadLeft;
    } else {
      group.departures[order.target] = now;
    }
  }
  if (outcome == order_outcome::kUnreachable || outcome == order_outcome::kWrongServer) {
    server.unanswered_since = server.unanswered_since.value_or(now);
    ++server.unanswered_probes;
  }
  const bool cannot_join =
      outcome == order_outcome::kOutdated || outcome == order_outcome::kWrongServer;
  if (order.action == formation_action::kJoin && cannot_join) StartReleasing(group);
}

void group_planner::RecordProbe(const backend_server_id& id, order_outcome outcome,
                                const std::optional<group_membership>& membership, time_point now) {
  server_record& server = servers_[id];
  if (outcome == order_outcome::kAccepted) {
    server.unanswered_probes = 0;
    server.unanswered_since.reset();
    server.answered_at = now;
    server.probed_membership = membership;
    return;
  }
  server.unanswered_since = server.unanswered_since.value_or(now);
  server.refuses = outcome != order_outcome::kNoAnswer;
  // A refused connection does not prove a failure either: during a partition, something else on the
  // path may refuse it.
  ++server.unanswered_probes;
}

void group_planner::RecordStall(const server_group_id& id, time_point now) {
  const auto found = groups_.find(id);
  if (found == groups_.end()) return;
  group_record& group = found->second;
  if (!group.suspected_until || *group.suspected_until < now) {
    for (const backend_server_id& member : group.members) {
      servers_[member].unanswered_probes = 0;
      servers_[member].unanswered_since.reset();
      servers_[member].answered_at.reset();
      servers_[member].probed_at.reset();
    }
  }
  group.suspected_until = now + options_.suspicion_time;
  busy_ = true;
}

void group_planner::ObserveServers() {
  previously_assigned_ = std::move(assigned_);
  assigned_.clear();
  for (const auto& [id, known] : directory_->entries()) {
    if (known.server.service != service_->id) continue;
    server_record& server = servers_[id];
    if (!server.registered_since) server.registered_since = now_;
    server.unregistered_since.reset();
    server.others_answered_since.reset();
    if (known.server.membership) ObserveEpoch(*known.server.membership);
  }
  for (auto& [id, server] : servers_) {
    if (directory_->Find(id) != nullptr) continue;
    server.registered_since.reset();
    if (!server.unregistered_since) server.unregistered_since = now_;
  }
  ProbeUnresponsiveServers();
}

void group_planner::ObserveEpoch(const group_membership& membership) {
  // A group of another origin says nothing about the epochs of controllers.
  const auto name = ParseGroupName(membership.group);
  if (!name || name->number != membership.epoch) return;
  highest_epoch_ = std::max(highest_epoch_, membership.epoch);
}

void group_planner::ProbeUnresponsiveServers() {
  for (auto& [id, server] : servers_) {
    if (server.unanswered_probes == 0 || !server.registered_since) continue;
    if (server.probed_at && now_ - *server.probed_at < options_.unanswered_probe_interval) continue;
    Probe(id);
  }
}

void group_planner::AdoptGroups() {
  for (const auto& [id, view] : directory_->Groups()) {
    if (released_groups_.contains(id)) ReleaseReturnedHead(view);
    const auto known = groups_.find(id);
    if (known != groups_.end()) AddRegisteredMembers(known->second, view);
    if (known != groups_.end() || released_groups_.contains(id)) continue;
    const auto name = ParseGroupName(id);
    if (name && name->spare) continue;
    const model_settings* model = service_->ModelByName(name ? name->model : view.model);
    group_record group;
    group.id = id;
    group.model = model == nullptr ? view.model : model->name;
    group.epoch = view.epoch;
    group.members = view.members;
    if (model != nullptr && group.members.size() < model->group_size) {
      group.members.resize(model->group_size);
    }
    if (name && group.members.front().empty()) SetHeadFromName(group, *name);
    group.phase_since = now_;
    group.adopted = true;
    group.adopted_at = now_;
    group.may_be_open = true;
    const bool forming = view.head_state == membership_state::kJoining ||
                         view.head_state == membership_state::kReady;
    group.current_phase = forming ? phase::kForming : phase::kServing;
    groups_.emplace(id, std::move(group));
  }
}

void group_planner::SetHeadFromName(group_record& group, const group_name& name) {
  if (name.head.empty()) return;
  group.members.front() = name.head;
  servers_[name.head].address = name.head_address;
}

void group_planner::AddRegisteredMembers(group_record& group, const group_view& view) {
  // The members of an adopted group may register at different times.
  if (view.epoch != group.epoch) return;
  if (group.members.size() < view.members.size()) group.members.resize(view.members.size());
  for (std::size_t rank = 0; rank < view.members.size(); ++rank) {
    if (group.members[rank].empty()) group.members[rank] = view.members[rank];
  }
}

void group_planner::ReleaseReturnedHead(const group_view& view) {
  // The head accepts requests again, because orders were executed late, but its members have been
  // assigned to other groups. It must leave before it may join one, too.
  const backend_server_id& head = view.members.front();
  const bool may_serve =
      view.head_state == membership_state::kOpen || view.head_state == membership_state::kClosing;
  if (!may_serve) return;
  // A registration from before the head left says nothing about its current state.
  const auto* known = directory_->Find(head);
  if (known->updated_at < released_groups_.at(view.id) + options_.order_retry) return;
  assigned_.insert(head);
  if (!MaySend(head, formation_action::kLeave, view.id)) return;
  group_record group;
  group.id = view.id;
  group.epoch = view.epoch;
  QueueOrder(head, formation_action::kLeave, group);
}

void group_planner::AdvanceGroups() {
  static constexpr std::array<void (group_planner::*)(group_record&), 4> kAdvance = {
      &group_planner::AdvanceForming, &group_planner::AdvanceServing,
      &group_planner::AdvanceClosing, &group_planner::AdvanceReleasing};
  for (auto& [id, group] : groups_) {
    (this->*kAdvance.at(static_cast<std::size_t>(group.current_phase)))(group);
  }
  for (auto item = groups_.begin(); item != groups_.end();) {
    const group_record& group = item->second;
    if (group.current_phase == phase::kReleasing && group.released_by) {
      RecordRelease(group, *group.released_by);
      released_groups_[group.id] = now_;
      item = groups_.erase(item);
    } else if (group.dissolving && IsAbandoned(group)) {
      // If a member that was not registered returns to the group, it is adopted again.
      item = groups_.erase(item);
    } else {
      for (const backend_server_id& member : group.members) {
        if (!group.dissolving || !HasDeparted(group, member)) assigned_.insert(member);
      }
      ++item;
    }
  }
}

bool group_planner::HoldsMembership(const group_record& group, const backend_server_id& id) const {
  const auto* known = directory_->Find(id);
  if (known == nullptr || !known->server.membership) return false;
  return known->server.membership->group == group.id &&
         known->server.membership->epoch == group.epoch;
}

void group_planner::AdvanceForming(group_record& group) {
  busy_ = true;
  bool all_ready = true;
  const bool joining_late = now_ - group.phase_since > options_.join_limit;
  for (const backend_server_id& member : group.members) {
    const auto* known = directory_->Find(member);
    if (known == nullptr || known->server.draining || servers_[member].unanswered_probes >= 2) {
      return StartReleasing(group);
    }
    if (!HoldsMembership(group, member)) {
      if (joining_late) return StartReleasing(group);
      all_ready = false;
      if (MaySend(member, formation_action::kJoin, group.id)) {
        QueueOrder(member, formation_action::kJoin, group);
      }
      continue;
    }
    if (known->server.membership->state == membership_state::kBroken) return StartReleasing(group);
    if (!IsReadyState(known->server.membership->state)) all_ready = false;
  }
  const auto* head = directory_->Find(group.members.front());
  if (all_ready && head->server.membership->state == membership_state::kOpen) {
    group.current_phase = phase::kServing;
    group.phase_since = now_;
    return;
  }
  // The last joins of the earlier controller may still be in flight and would remove members from
  // the open group; servers reject them once they have joined under a higher epoch.
  if (all_ready && group.adopted) return StartReleasing(group);
  if (all_ready && MaySend(group.members.front(), formation_action::kOpen, group.id)) {
    group.may_be_open = true;
    QueueOrder(group.members.front(), formation_action::kOpen, group);
  }
  // A group whose members are still loading is released when free servers need no loading.
  const bool loading_late = now_ - group.phase_since > options_.join_limit && !all_ready;
  if (now_ - group.phase_since > options_.forming_limit ||
      (loading_late && HasBetterMembers(group))) {
    StartReleasing(group);
  }
}

bool group_planner::IsSuspected(const group_record& group) const {
  return group.suspected_until && now_ < *group.suspected_until;
}

bool group_planner::HasAnsweredSince(const group_record& group, time_point since) {
  return std::any_of(group.members.begin(), group.members.end(), [&](const auto& member) {
    const auto& answered_at = servers_[member].answered_at;
    return !member.empty() && answered_at && *answered_at > since;
  });
}

bool group_planner::IsSilentForLong(const server_record& server) const {
  if (server.unanswered_probes == 0) return false;
  return server.refuses || now_ - *server.unanswered_since >= options_.silent_member_time;
}

group_planner::member_condition group_planner::ConditionOfMember(const group_record& group,
                                                                 std::size_t rank) {
  const backend_server_id& id = group.members[rank];
  if (id.empty()) {
    // Members that were partitioned together register again at different times.
    return now_ - group.adopted_at < options_.reregistration_time ? member_condition::kUnregistered
                                                                  : member_condition::kLost;
  }
  const server_record& server = servers_[id];
  const auto* known = directory_->Find(id);
  // A member that does not answer is only suspected while another member answers.
  const bool silent = server.unanswered_since && HasAnsweredSince(group, *server.unanswered_since);
  if (known != nullptr) {
    if (!HoldsMembership(group, id)) return member_condition::kLost;
    if (IsSuspected(group) && silent && IsSilentForLong(server)) return member_condition::kLost;
    return known->server.draining ? member_condition::kDraining : member_condition::kPresent;
  }
  // No longer registered: it may be partitioned from the VM list service and still work.
  if (server.unanswered_probes >= 2 && silent) return member_condition::kLost;
  if (server.answered_at &&
      (!server.probed_membership || server.probed_membership->group != group.id ||
       server.probed_membership->epoch != group.epoch)) {
    return member_condition::kLost;
  }
  return member_condition::kUnregistered;
}

void group_planner::AdvanceServing(group_record& group) {
  const head_condition condition = ConditionOfHead(group);
  // An unregistered head receives no new requests, so its group serves no purpose.
  const bool unlisted = condition == head_condition::kReachable ||
                        condition == head_condition::kSilent ||
                        condition == head_condition::kNeverSeen;
  if (unlisted || ReasonOf(condition)) return StartReleasing(group);
  if (condition == head_condition::kUnknown) {
    busy_ = true;
    return ProbeMembers(group);
  }
  const auto* head = directory_->Find(group.members.front());
  if (head->server.membership->state == membership_state::kReady) {
    group.current_phase = phase::kForming;
    group.phase_since = now_;
    busy_ = true;
    return;
  }
  if (IsSuspected(group)) {
    busy_ = true;
    ProbeMembers(group);
  }
  bool draining = false;
  bool lacks_member = false;
  for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
    const member_condition member = ConditionOfMember(group, rank);
    if (member == member_condition::kLost) return StartReleasing(group);
    if (member == member_condition::kDraining) draining = true;
    if (member == member_condition::kUnregistered) lacks_member = true;
  }
  if (lacks_member) ProbeMembers(group);
  if (!draining) return;
  group.current_phase = phase::kClosing;
  group.phase_since = now_;
  AdvanceClosing(group);
}

void group_planner::AdvanceClosing(group_record& group) {
  busy_ = true;
  const backend_server_id& head = group.members.front();
  const auto* known = directory_->Find(head);
  if (known == nullptr || !HoldsMembership(group, head)) return StartReleasing(group);
  const membership_state state = known->server.membership->state;
  if (state == membership_state::kBroken) group.released_by = release_reason::kHeadBroken;
  const bool closed = state == membership_state::kReady || state == membership_state::kBroken;
  if (closed || now_ - group.phase_since > options_.closing_limit) return StartReleasing(group);
  for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
    if (ConditionOfMember(group, rank) == member_condition::kLost) return StartReleasing(group);
  }
  if (state == membership_state::kOpen && MaySend(head, formation_action::kClose, group.id)) {
    QueueOrder(head, formation_action::kClose, group);
  }
}

void group_planner::StartReleasing(group_record& group) {
  if (group.current_phase != phase::kReleasing) group.phase_since = now_;
  group.current_phase = phase::kReleasing;
  if (directory_ != nullptr) AdvanceReleasing(group);
}

group_planner::head_condition group_planner::ConditionOfHead(const group_record& group) {
  const backend_server_id& head = group.members.front();
  if (head.empty()) {
    // This VM has never seen the head registered. A partitioned head that still runs registers
    // again within `unknown_head_time`.
    const bool members_stay = std::any_of(
        group.members.begin(), group.members.end(), [&](const backend_server_id& member) {
          const auto& registered_since = servers_[member].registered_since;
          return !member.empty() && registered_since &&
                 now_ - *registered_since > options_.unknown_head_time;
        });
    return members_stay ? head_condition::kNeverSeen : head_condition::kUnknown;
  }
  // A registration from before the join shows no membership either; the head's state only matters
  // if the group may have been opened.
  if (!group.may_be_open) return head_condition::kNeverOpened;
  const auto* known = directory_->Find(head);
  if (known == nullptr) return ConditionOfUnlistedHead(group);
  if (!HoldsMembership(group, head)) return head_condition::kRegisteredElsewhere;
  return known->server.membership->state == membership_state::kBroken ? head_condition::kBroken
                                                                      : head_condition::kRegistered;
}

std::optional<release_reason> group_planner::ReasonOf(head_condition condition) {
  switch (condition) {
    case head_condition::kNeverOpened:
      return release_reason::kNeverOpened;
    case head_condition::kRegisteredElsewhere:
      return release_reason::kHeadRegisteredElsewhere;
    case head_condition::kBroken:
      return release_reason::kHeadBroken;
    default:
      return std::nullopt;
  }
}

bool group_planner::HasDeparted(const group_record& group, const backend_server_id& member) const {
  const auto* known = directory_->Find(member);
  if (known == nullptr || member == group.members.front()) return false;
  if (!HoldsMembership(group, member)) return true;
  const auto departure = group.departures.find(member);
  // A later registration shows that the member has joined the group again, by a late order.
  return departure != group.departures.end() &&
         known->updated_at < departure->second + options_.order_retry;
}

bool group_planner::IsAbandoned(const group_record& group) const {
  return std::none_of(group.members.begin(), group.members.end(),
                      [&](const auto& member) { return HoldsMembership(group, member); });
}

void group_planner::Dissolve(group_record& group, release_reason reason) {
  if (!group.dissolving) RecordRelease(group, reason);
  group.dissolving = true;
  for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
    const backend_server_id& member = group.members[rank];
    if (directory_->Find(member) == nullptr || HasDeparted(group, member)) continue;
    if (MaySend(member, formation_action::kLeave, group.id)) {
      QueueOrder(member, formation_action::kLeave, group);
    }
  }
}

void group_planner::RecordRelease(const group_record& group, release_reason reason) {
  const server_record& head = servers_[group.members.front()];
  group_release release;
  release.group = group.id;
  release.head = group.members.front();
  release.members = group.members.size();
  release.reason = reason;
  release.adopted = group.adopted;
  if (head.unregistered_since) release.unregistered = now_ - *head.unregistered_since;
  if (head.unanswered_since) release.silent = now_ - *head.unanswered_since;
  release.unanswered_probes = head.unanswered_probes;
  releases_.push_back(std::move(release));
}

group_planner::head_condition group_planner::ConditionOfUnlistedHead(const group_record& group) {
  server_record& head = servers_[group.members.front()];
  if (head.answered_at && now_ - *head.answered_at < options_.suspicion_time) {
    return head_condition::kReachable;
  }
  if (!head.unregistered_since) return head_condition::kUnknown;
  if (!head.others_answered_since) {
    const bool others_answered = std::any_of(
        group.members.begin() + 1, group.members.end(), [&](const backend_server_id& member) {
          const auto& answered_at = servers_[member].answered_at;
          return !member.empty() && answered_at && *answered_at > *head.unregistered_since;
        });
    if (!others_answered) return head_condition::kUnknown;
    // Earlier unanswered probes may have had a cause that all members shared, so counting restarts.
    head.others_answered_since = now_;
    head.unanswered_probes = 0;
    head.unanswered_since.reset();
  }
  const bool silent = head.unanswered_probes >= options_.silent_head_probes &&
                      head.unanswered_since &&
                      now_ - *head.unanswered_since >= options_.silent_head_time;
  return silent ? head_condition::kSilent : head_condition::kUnknown;
}

void group_planner::ProbeMembers(const group_record& group) {
  for (const backend_server_id& member : group.members) Probe(member);
}

void group_planner::AdvanceReleasing(group_record& group) {
  busy_ = true;
  if (group.released_by) return;
  const backend_server_id& head = group.members.front();
  const head_condition condition = ConditionOfHead(group);
  group.released_by = ReasonOf(condition);
  if (group.released_by) return;
  if (condition == head_condition::kSilent) Dissolve(group, release_reason::kHeadSilent);
  if (condition == head_condition::kNeverSeen) Dissolve(group, release_reason::kHeadNeverSeen);
  if (condition != head_condition::kRegistered) ProbeMembers(group);
  const bool can_order =
      condition == head_condition::kRegistered || condition == head_condition::kReachable;
  if (can_order && MaySend(head, formation_action::kLeave, group.id)) {
    QueueOrder(head, formation_action::kLeave, group);
  }
}

void group_planner::Probe(const backend_server_id& id) {
  if (id.empty()) return;
  server_record& server = servers_[id];
  if (server.probed_at && now_ - *server.probed_at < options_.probe_interval) return;
  server.probed_at = now_;
  formation_order order;
  order.action = formation_action::kProbe;
  order.target = id;
  order.address = AddressOf(id);
  orders_.push_back(std::move(order));
}

std::string group_planner::AddressOf(const backend_server_id& id) {
  std::string address = directory_->LastAddressOf(id);
  return address.empty() ? servers_[id].address : address;
}

bool group_planner::MaySend(const backend_server_id& target, formation_action action,
                            const server_group_id& group) {
  if (target.empty()) return false;
  const server_record& server = servers_[target];
  if (!server.repeat_after || now_ >= *server.repeat_after) return true;
  // A server that answered its last order may receive a different one immediately.
  return !server.order_pending && (server.last_action != action || server.last_group != group);
}

void group_planner::QueueOrder(const backend_server_id& target, formation_action action,
                               const group_record& group) {
  server_record& server = servers_[target];
  server.repeat_after = now_ + options_.order_retry;
  server.order_pending = true;
  server.last_action = action;
  server.last_group = group.id;
  formation_order order;
  order.action = action;
  order.target = target;
  order.address = AddressOf(target);
  order.group = group.id;
  order.epoch = group.epoch;
  order.model = group.model;
  if (action == formation_action::kJoin) order.members = group.members;
  orders_.push_back(std::move(order));
}

bool group_planner::IsUsable(const backend_server_id& id) const {
  const auto* known = directory_->Find(id);
  if (known == nullptr || known->server.service != service_->id) return false;
  if (known->server.draining || known->removal_at) return false;
  const auto record = servers_.find(id);
  if (record == servers_.end()) return true;
  // A server that did not answer is not used until it answers again.
  return record->second.unanswered_probes == 0;
}

void group_planner::FormMissingGroups() {
  std::map<fabric_domain_id, std::size_t> usable;
  std::map<fabric_domain_id, group_counts> present;
  std::map<fabric_domain_id, time_point> newest;
  free_.clear();
  for (const auto& [id, known] : directory_->entries()) {
    if (known.server.service != service_->id || !IsUsable(id)) continue;
    const fabric_domain_id& fabric = known.server.fabric;
    ++usable[fabric];
    time_point& seen = newest[fabric];
    seen = std::max(seen, *servers_[id].registered_since);
    if (!assigned_.contains(id)) free_[fabric].push_back(id);
  }
  for (const auto& [id, group] : groups_) {
    // Groups that are being released count as well: their members go to the group that replaces
    // them.
    const auto* head = directory_->Find(group.members.front());
    if (head != nullptr) ++present[head->server.fabric][group.model];
  }
  const auto targets = ComputeFormationTargets(service_->models, usable, options_.spares);
  shortage_.clear();
  for (const auto& [fabric, counts] : targets) {
    DescribeShortage(fabric, usable[fabric], counts, present[fabric]);
    // Servers that return together register at different times; only groups that need loading wait
    // for servers with a lower join cost.
    const bool settled = now_ - newest[fabric] > options_.settle_time;
    if (!settled) busy_ = true;
    FormInDomain(fabric, counts, present[fabric], settled);
    if (settled) LoadSpares(fabric);
  }
}

void group_planner::FormInDomain(const fabric_domain_id& fabric, const group_counts& targets,
                                 group_counts& present, bool settled) {
  if (MissingModels(targets, present).empty()) {
    missing_since_.erase(fabric);
    return;
  }
  const time_point since = missing_since_.try_emplace(fabric, now_).first->second;
  // Loading from the store is slow and evicts the weights of another model from a server; members
  // that are only partitioned may return before it completes.
  const bool missing_long = !loads_limited_ || now_ - since > options_.store_load_delay;
  for (const join_cost max_cost : {join_cost::kNone, join_cost::kFromHost, join_cost::kFromStore}) {
    if (max_cost != join_cost::kNone && !settled) return;
    if (max_cost == join_cost::kFromStore && !missing_long) return;
    for (const model_settings* model : MissingModels(targets, present)) {
      if (FormGroup(fabric, *model, max_cost)) ++present[model->name];
    }
  }
  for (const model_settings* model : MissingModels(targets, present)) {
    ConvertGroup(fabric, *model, targets, present);
  }
}

bool group_planner::HasBetterMembers(const group_record& group) const {
  std::size_t loading = 0;
  for (const backend_server_id& member : group.members) {
    const auto* known = directory_->Find(member);
    const bool joining = known != nullptr && known->server.membership &&
                         known->server.membership->state == membership_state::kJoining;
    loading += joining ? 1 : 0;
  }
  const auto* head = directory_->Find(group.members.front());
  const auto& entries = directory_->entries();
  const auto better = std::count_if(entries.begin(), entries.end(), [&](const auto& item) {
    const backend_server& server = item.second.server;
    return head != nullptr && server.fabric == head->server.fabric && server.model == group.model &&
           !previously_assigned_.contains(item.first) && IsUsable(item.first);
  });
  return loading > 0 && static_cast<std::size_t>(better) >= loading;
}

std::vector<const model_settings*> group_planner::MissingModels(const group_counts& targets,
                                                                const group_counts& present) const {
  std::vector<const model_settings*> missing;
  for (const auto& [name, count] : targets) {
    const auto held = present.find(name);
    for (std::size_t i = held == present.end() ? 0 : held->second; i < count; ++i) {
      missing.push_back(service_->ModelByName(name));
    }
  }
  std::stable_sort(missing.begin(), missing.end(),
                   [](const auto* left, const auto* right) { return left->share > right->share; });
  return missing;
}

void group_planner::DescribeShortage(const fabric_domain_id& fabric, std::size_t usable,
                                     const group_counts& targets, const group_counts& present) {
  const auto missing = MissingModels(targets, present);
  if (missing.empty()) return;
  shortage_ += fabric.str() + " usable=" + std::to_string(usable) +
               " free=" + std::to_string(free_[fabric].size()) + " missing=";
  for (const model_settings* model : missing) shortage_ += model->name + " ";
}

std::size_t group_planner::CountGroups(const std::string& model) const {
  return static_cast<std::size_t>(
      std::count_if(groups_.begin(), groups_.end(), [&](const auto& item) {
        return item.second.model == model && item.second.current_phase == phase::kServing;
      }));
}

group_planner::group_record* group_planner::FindSurplusGroup(const fabric_domain_id& fabric,
                                                             const model_settings& model,
                                                             const group_counts& targets,
                                                             const group_counts& present) {
  for (auto& [id, group] : groups_) {
    if (group.current_phase != phase::kServing || group.model == model.name) continue;
    const auto* head = directory_->Find(group.members.front());
    if (head == nullptr || head->server.fabric != fabric) continue;
    const model_settings* own = service_->ModelByName(group.model);
    const auto target = targets.find(group.model);
    const auto held = present.find(group.model);
    const bool surplus = own != nullptr && held != present.end() &&
                         held->second > (target == targets.end() ? 0 : target->second);
    if (!surplus || free_[fabric].size() + group.members.size() < model.group_size) continue;
    const std::size_t others = CountGroups(group.model);
    const double lost = own->share / static_cast<double>(others);
    const double gained = model.share / static_cast<double>(CountGroups(model.name) + 1);
    if (others > 1 && gained > lost * options_.conversion_gain) return &group;
  }
  return nullptr;
}

void group_planner::ConvertGroup(const fabric_domain_id& fabric, const model_settings& model,
                                 const group_counts& targets, const group_counts& present) {
  group_record* group = FindSurplusGroup(fabric, model, targets, present);
  if (group == nullptr) return;
  // The weights are staged while the group serves requests; it closes only when they are loaded.
  std::size_t needed = model.group_size - free_[fabric].size();
  bool staged = true;
  for (std::size_t rank = group->members.size(); rank > 0 && needed > 0; --rank, --needed) {
    staged = EnsureStaged(group->members[rank - 1], model) && staged;
  }
  if (!staged) return;
  group->current_phase = phase::kClosing;
  group->phase_since = now_;
  AdvanceClosing(*group);
}

bool group_planner::EnsureStaged(const backend_server_id& id, const model_settings& model) {
  const auto* known = directory_->Find(id);
  if (known == nullptr) return false;
  if (HasStaged(known->server, model.name)) return true;
  auto& staging_until = servers_[id].staging_until;
  if ((staging_until && now_ < *staging_until) || !ReserveLoads(1)) return false;
  staging_until = now_ + options_.forming_limit;
  group_record stage;
  stage.model = model.name;
  QueueOrder(id, formation_action::kStage, stage);
  return false;
}

std::size_t group_planner::CountStoreLoads(const std::vector<backend_server_id>& members,
                                           const std::string& model) const {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const backend_server_id& id) {
        return JoinCostOf(directory_->Find(id)->server, model) == join_cost::kFromStore;
      }));
}

bool group_planner::ReserveLoads(std::size_t loads) {
  while (!loads_.empty() && now_ - loads_.front() > options_.load_window) loads_.pop_front();
  if (!loads_limited_) return true;
  if (loads_.size() + loads > options_.load_limit && !loads_.empty() && loads > 0) return false;
  loads_.insert(loads_.end(), loads, now_);
  return true;
}

bool group_planner::FormGroup(const fabric_domain_id& fabric, const model_settings& model,
                              join_cost max_cost) {
  std::vector<backend_server_id>& free = free_[fabric];
  if (free.size() < model.group_size) return false;
  std::stable_sort(free.begin(), free.end(), [&](const auto& left, const auto& right) {
    return JoinCostOf(directory_->Find(left)->server, model.name) <
           JoinCostOf(directory_->Find(right)->server, model.name);
  });
  const backend_server& last = directory_->Find(free[model.group_size - 1])->server;
  if (JoinCostOf(last, model.name) > max_cost) return false;
  group_record group;
  const auto chosen_end = free.begin() + static_cast<std::ptrdiff_t>(model.group_size);
  group.members.assign(free.begin(), chosen_end);
  if (!ReserveLoads(CountStoreLoads(group.members, model.name))) {
    busy_ = true;
    return false;
  }
  free.erase(free.begin(), chosen_end);
  group.epoch = NextEpoch();
  group.model = model.name;
  const backend_server_id& head = group.members.front();
  group.id = MakeGroupName({model.name, false, group.epoch, head, AddressOf(head)});
  group.phase_since = now_;
  const auto placed = groups_.emplace(group.id, std::move(group)).first;
  AdvanceForming(placed->second);
  return true;
}

void group_planner::LoadSpares(const fabric_domain_id& fabric) {
  std::vector<const model_settings*> models;
  for (const model_settings& model : service_->models) models.push_back(&model);
  std::stable_sort(models.begin(), models.end(),
                   [](const auto* left, const auto* right) { return left->share > right->share; });
  if (models.empty()) return;
  std::map<std::string, std::size_t> loaded;
  for (const backend_server_id& id : free_[fabric]) ++loaded[directory_->Find(id)->server.model];
  for (const backend_server_id& id : free_[fabric]) {
    const backend_server& server = directory_->Find(id)->server;
    if (server.membership && server.membership->state == membership_state::kJoining) continue;
    const auto& repeat_after = servers_[id].repeat_after;
    if (repeat_after && now_ < *repeat_after) continue;
    if (server.model.empty()) {
      const model_settings* least =
          *std::min_element(models.begin(), models.end(), [&](const auto* left, const auto* right) {
            return loaded[left->name] < loaded[right->name];
          });
      if (!ReserveLoads(HasStaged(server, least->name) ? 0 : 1)) return;
      ++loaded[least->name];
      group_record spare;
      spare.epoch = NextEpoch();
      spare.model = least->name;
      spare.id = MakeGroupName({least->name, true, spare.epoch, {}, {}});
      spare.members = {id};
      QueueOrder(id, formation_action::kJoin, spare);
      continue;
    }
    // The server can rejoin its last model without loading; the weights of another one are staged.
    const auto other = std::find_if(models.begin(), models.end(),
                                    [&](const auto* model) { return model->name != server.model; });
    if (other == models.end() || HasStaged(server, (*other)->name)) continue;
    EnsureStaged(id, **other);
  }
}

}  // namespace waxwingwing
