#include "tests/unit/support/formation_simulation.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

constexpr milliseconds kStep{20};
constexpr milliseconds kOrderLatency{4};
constexpr milliseconds kAnswerTimeout{400};
constexpr milliseconds kRejoinTime{200};
constexpr milliseconds kJoinFromHost{1600};
constexpr milliseconds kJoinFromStore{16000};
constexpr milliseconds kOpening{300};
constexpr milliseconds kStallLimit{6000};
/// A registration lapses this long after the server was last heard of.
constexpr milliseconds kRegistrationLapse{3600};
constexpr milliseconds kDirectoryDelay{150};

}  // namespace

formation_simulation::formation_simulation(std::vector<model_settings> models, std::size_t fabrics,
                                           std::size_t servers_each, std::uint64_t seed)
    : planner_(std::in_place, group_planner_options{}),
      random_(seed),
      now_(time_point(std::chrono::hours(1))) {
  service_.id = service_id("pool");
  service_.models = std::move(models);
  for (std::size_t fabric = 0; fabric < fabrics; ++fabric) {
    for (std::size_t number = 0; number < servers_each; ++number) {
      simulated_server server;
      backend_server& registered = server.registration;
      registered.id =
          backend_server_id("f" + std::to_string(fabric) + "-" + std::to_string(number));
      registered.service = service_.id;
      registered.address = "10.0.0.1:1";
      registered.fabric = fabric_domain_id("f" + std::to_string(fabric));
      registered.born = 1;
      servers_[registered.id] = std::move(server);
    }
  }
  planner_->Reset(0);
  planner_->SetLoadsLimited(false);
}

void formation_simulation::Run(duration time) {
  const time_point end = now_ + time;
  while (now_ < end) Step();
}

void formation_simulation::Step() {
  now_ += kStep;
  InjectFaults();
  AdvanceServers();
  PublishRegistrations();
  Deliver();
  Plan();
}

void formation_simulation::InjectFaults() {
  const double step_seconds = std::chrono::duration<double>(kStep).count();
  for (auto& [id, server] : servers_) {
    if (Happens(faults_.crash * step_seconds)) Crash(id);
    if (Happens(faults_.list_partition * step_seconds))
      PartitionFromList(id, std::chrono::seconds(5));
    if (faults_.controller_partition > 0 && Happens(faults_.controller_partition * step_seconds)) {
      PartitionFromController(id, std::chrono::seconds(8));
    }
    if (Happens(faults_.domain_partition * step_seconds)) {
      PartitionFabric(server.registration.fabric, std::chrono::seconds(6));
    }
  }
  if (Happens(faults_.controller_change * step_seconds)) ReplaceController();
}

void formation_simulation::Crash(const backend_server_id& id) {
  simulated_server& server = servers_[id];
  if (!server.alive) return;
  server.alive = false;
  server.unregistered_at = now_ + kRegistrationLapse;
  if (Happens(0.5)) server.restart_at = now_ + std::chrono::seconds(5);
}

void formation_simulation::CrashPermanently(const backend_server_id& id) {
  Crash(id);
  servers_[id].restart_at.reset();
}

void formation_simulation::Drain(const backend_server_id& id) {
  servers_[id].registration.draining = true;
  servers_[id].dirty = true;
}

void formation_simulation::Silence(const backend_server_id& id, duration time) {
  servers_[id].silent_until = now_ + time;
}

void formation_simulation::PartitionFromList(const backend_server_id& id, duration time) {
  simulated_server& server = servers_[id];
  server.list_partition_until = now_ + time;
  if (!server.unregistered_at) server.unregistered_at = now_ + kRegistrationLapse;
}

void formation_simulation::PartitionFromController(const backend_server_id& id, duration time) {
  PartitionFromList(id, time);
  Silence(id, time);
}

void formation_simulation::PartitionFabric(const fabric_domain_id& fabric, duration time) {
  fabric_partition_until_[fabric] = now_ + time;
  partitions_refuse_ = Happens(0.5);
  for (auto& [id, server] : servers_) {
    if (server.registration.fabric == fabric) PartitionFromList(id, time);
  }
}

void formation_simulation::ReplaceController() {
  ++term_;
  planner_.emplace(group_planner_options{});
  planner_->Reset(term_ * 1000);
  planner_->SetLoadsLimited(false);
}

void formation_simulation::ReportStall(const server_group_id& group) {
  planner_->RecordStall(group, now_);
}

bool formation_simulation::IsPartitioned(const simulated_server& server) const {
  const auto partition = fabric_partition_until_.find(server.registration.fabric);
  return partition != fabric_partition_until_.end() && now_ < partition->second;
}

void formation_simulation::AdvanceServers() {
  for (auto& [id, server] : servers_) {
    if (!server.alive && server.restart_at && now_ >= *server.restart_at) {
      const backend_server old = server.registration;
      server = simulated_server{};
      server.registration = old;
      server.registration.membership.reset();
      server.registration.model.clear();
      ++server.registration.born;
      server.registration.revision = 0;
    }
    if (!server.alive || !server.registration.membership) continue;
    group_membership& membership = *server.registration.membership;
    if (server.ready_at && now_ >= *server.ready_at) {
      server.ready_at.reset();
      membership.state = membership_state::kReady;
      ready_in_[{membership.group, membership.epoch}].insert(id);
      server.dirty = true;
    }
    if (membership.rank == 0) AdvanceGroup(server);
  }
}

void formation_simulation::AdvanceGroup(simulated_server& head) {
  group_membership& membership = *head.registration.membership;
  if (head.open_at && now_ >= *head.open_at) {
    head.open_at.reset();
    membership.state = membership_state::kOpen;
    head.dirty = true;
    CheckOpen(head);
  }
  if (head.closed_at && now_ >= *head.closed_at) {
    head.closed_at.reset();
    membership.state = membership_state::kReady;
    head.dirty = true;
  }
  if (membership.state != membership_state::kOpen) return head.stalled_since.reset();
  if (IsComplete(head)) return head.stalled_since.reset();
  if (!head.stalled_since) head.stalled_since = now_;
  if (now_ - *head.stalled_since < kStallLimit) return;
  membership.state = membership_state::kBroken;
  head.dirty = true;
}

bool formation_simulation::IsComplete(const simulated_server& head) const {
  const group_membership& membership = *head.registration.membership;
  return std::all_of(head.members.begin(), head.members.end(), [&](const auto& id) {
    const simulated_server& member = servers_.at(id);
    return member.alive && member.registration.membership &&
           member.registration.membership->group == membership.group &&
           member.registration.membership->epoch == membership.epoch;
  });
}

void formation_simulation::PublishRegistrations() {
  for (auto& [id, server] : servers_) {
    if (server.unregistered_at && now_ >= *server.unregistered_at) {
      directory_.Remove(id, now_, duration::zero());
    }
    const bool list_partitioned =
        server.list_partition_until && now_ < *server.list_partition_until;
    if (!server.alive || list_partitioned) continue;
    if (server.list_partition_until) {
      server.list_partition_until.reset();
      server.unregistered_at.reset();
      // Servers that were partitioned together register again at different times.
      server.list_partition_until = std::nullopt;
      server.dirty = true;
    }
    if (!server.dirty || !Happens(0.3)) continue;
    server.dirty = false;
    ++server.registration.revision;
    directory_.Update(server.registration, now_);
  }
  directory_.ApplyDueRemovals(now_);
}

void formation_simulation::Plan() {
  for (formation_order& order : planner_->Plan(service_, directory_, now_)) {
    ++orders_;
    pending_order pending{std::move(order), now_ + kOrderLatency, true, term_, true};
    if (Happens(faults_.lost_order)) {
      pending.answered = false;
      pending.executed = false;
    } else if (Happens(faults_.lost_answer)) {
      pending.answered = false;
    } else if (Happens(faults_.late_order)) {
      pending.answered = false;
      pending.due = now_ + std::chrono::seconds(2 + random_.Below(11));
    }
    if (!pending.answered) {
      // The order times out at the controller long before a late order is executed.
      pending_order order_timeout = pending;
      order_timeout.due = now_ + kAnswerTimeout;
      order_timeout.executed = false;
      pending_.push_back(order_timeout);
    }
    if (pending.executed) pending_.push_back(std::move(pending));
  }
}

void formation_simulation::Deliver() {
  std::vector<pending_order> due;
  std::vector<pending_order> later;
  for (pending_order& pending : pending_) {
    (pending.due <= now_ ? due : later).push_back(std::move(pending));
  }
  pending_ = std::move(later);
  for (const pending_order& pending : due) {
    if (!pending.executed) {
      Answer(pending, order_outcome::kNoAnswer);
      continue;
    }
    const simulated_server& target = servers_.at(pending.order.target);
    const bool reached = target.alive && !IsPartitioned(target) && now_ >= target.silent_until;
    // During a partition, something on the path may refuse connections to a running server, as the
    // VM of a failed server does.
    const order_outcome failed =
        partitions_refuse_ ? order_outcome::kUnreachable : order_outcome::kNoAnswer;
    const order_outcome outcome = reached ? Execute(pending.order) : failed;
    if (pending.answered) Answer(pending, outcome);
  }
}

void formation_simulation::Answer(const pending_order& pending, order_outcome outcome) {
  if (pending.term != term_) return;
  if (pending.order.action != formation_action::kProbe) {
    return planner_->RecordOutcome(pending.order, outcome, now_);
  }
  planner_->RecordProbe(pending.order.target, outcome,
                        servers_.at(pending.order.target).registration.membership, now_);
}

order_outcome formation_simulation::Execute(const formation_order& order) {
  simulated_server& server = servers_.at(order.target);
  auto& membership = server.registration.membership;
  const bool is_member =
      membership && membership->group == order.group && membership->epoch == order.epoch;
  switch (order.action) {
    case formation_action::kProbe:
      return order_outcome::kAccepted;
    case formation_action::kStage:
      server.registration.staged = {order.model};
      server.dirty = true;
      return order_outcome::kAccepted;
    case formation_action::kJoin:
      return Join(server, order);
    case formation_action::kOpen:
      if (!is_member || membership->state != membership_state::kReady)
        return order_outcome::kConflict;
      server.open_at = now_ + kOpening;
      return order_outcome::kAccepted;
    case formation_action::kClose:
      if (!is_member || membership->state != membership_state::kOpen)
        return order_outcome::kConflict;
      membership->state = membership_state::kClosing;
      server.closed_at = now_ + std::chrono::seconds(1);
      server.dirty = true;
      return order_outcome::kAccepted;
    case formation_action::kLeave:
      if (!is_member) return order_outcome::kConflict;
      membership.reset();
      server.open_at.reset();
      server.ready_at.reset();
      server.closed_at.reset();
      server.dirty = true;
      return order_outcome::kAccepted;
  }
  return order_outcome::kRejected;
}

order_outcome formation_simulation::Join(simulated_server& server, const formation_order& order) {
  auto& membership = server.registration.membership;
  if (order.epoch < server.highest_epoch) return order_outcome::kOutdated;
  if (membership && membership->group == order.group && membership->epoch == order.epoch) {
    return server.members == order.members ? order_outcome::kAccepted : order_outcome::kOutdated;
  }
  CheckJoin(server, order);
  const auto place = std::find(order.members.begin(), order.members.end(), order.target);
  server.highest_epoch = order.epoch;
  server.members = order.members;
  membership = group_membership{order.group, order.epoch,
                                static_cast<std::uint32_t>(place - order.members.begin()),
                                membership_state::kJoining};
  server.open_at.reset();
  server.closed_at.reset();
  backend_server& registered = server.registration;
  const bool staged = std::find(registered.staged.begin(), registered.staged.end(), order.model) !=
                      registered.staged.end();
  milliseconds time = kJoinFromStore;
  if (registered.model == order.model) {
    time = kRejoinTime;
  } else if (staged) {
    time = kJoinFromHost;
  } else {
    ++joins_from_store_;
  }
  registered.model = order.model;
  registered.staged = {order.model};
  server.ready_at = now_ + time;
  server.dirty = true;
  return order_outcome::kAccepted;
}

void formation_simulation::CheckJoin(const simulated_server& server, const formation_order& order) {
  const auto& membership = server.registration.membership;
  if (!membership || server.members.empty()) return;
  const simulated_server& head = servers_.at(server.members.front());
  const auto& head_membership = head.registration.membership;
  if (!head.alive || !head_membership || head_membership->group != membership->group ||
      head_membership->epoch != membership->epoch) {
    return;
  }
  const bool takes_requests = head_membership->state == membership_state::kOpen ||
                              head_membership->state == membership_state::kClosing;
  if (!takes_requests) return;
  violations_.push_back(server.registration.id.str() + " joined " + order.group.str() +
                        " while the head of " + membership->group.str() + " accepts requests");
}

void formation_simulation::CheckOpen(const simulated_server& head) {
  const group_membership& membership = *head.registration.membership;
  const auto& ready = ready_in_[{membership.group, membership.epoch}];
  const model_settings* model = service_.ModelByName(head.registration.model);
  const bool partial = model == nullptr || head.members.size() != model->group_size ||
                       std::any_of(head.members.begin(), head.members.end(),
                                   [&](const auto& member) { return !ready.contains(member); });
  if (partial) violations_.push_back(membership.group.str() + " runs without all members ready");
}

std::map<std::string, std::size_t> formation_simulation::ServingGroups() const {
  std::map<std::string, std::size_t> groups;
  for (const auto& [id, server] : servers_) {
    const auto& membership = server.registration.membership;
    if (!server.alive || !membership || membership->rank != 0) continue;
    if (membership->state == membership_state::kOpen && IsComplete(server)) {
      ++groups[server.registration.model];
    }
  }
  return groups;
}

std::vector<backend_server_id> formation_simulation::MembersOfGroup(
    const std::string& model) const {
  for (const auto& [id, server] : servers_) {
    const auto& membership = server.registration.membership;
    if (!server.alive || !membership || membership->rank != 0) continue;
    if (membership->state == membership_state::kOpen && server.registration.model == model) {
      return server.members;
    }
  }
  return {};
}

server_group_id formation_simulation::GroupOf(const backend_server_id& id) const {
  const auto& membership = servers_.at(id).registration.membership;
  return membership ? membership->group : server_group_id();
}

}  // namespace waxwingwing
