#include "bench/fleet_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace waxwingwing {
namespace {

constexpr milliseconds kTickInterval{500};
/// Times for which the model keeps ticking, after which every silence limit and settling time of
/// the planner has expired.
constexpr milliseconds kSettleAfterFailure{5500};
constexpr milliseconds kSettleAfterOrder{3000};
constexpr milliseconds kSettleAfterReturn{1500};
constexpr milliseconds kLeavingNotice{180000};
constexpr milliseconds kDelistDelay{30000};

double Seconds(duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

fleet_model::fleet_model(const fleet_options& options, const configuration& config,
                         replica_planner planner)
    : options_(options),
      config_(config),
      planner_(std::move(planner)),
      domain_(config.failure_domains.begin()->first),
      slots_(options.shape.vms()) {
  for (std::size_t index = 0; index < slots_.size(); ++index) StartVm(index);
}

void fleet_model::StartVm(std::size_t index) {
  slot& item = slots_[index];
  const std::size_t fabric = index / options_.shape.vms_per_fabric;
  const std::uint32_t instance = item.instance + 1;
  index_of_.erase(item.entry.id);
  item = slot{};
  item.instance = instance;
  item.entry.id = vm_id(fmt::format("vm{:04}-{}", index, instance));
  item.entry.failure_domain = domain_;
  item.entry.fabric_domain = fabric_domain_id(fmt::format("f{:03}", fabric));
  item.entry.accelerators = static_cast<std::uint32_t>(options_.accelerators_per_vm);
  index_of_[item.entry.id] = index;
  StartProcess(item);
}

void fleet_model::StartProcess(slot& item) {
  item.alive = true;
  item.started = now_;
  item.bytes_left = 0;
  item.actual = backend_report{};
  item.actual.vm = item.entry.id;
  item.actual.failure_domain = domain_;
  item.actual.incarnation = incarnation(random_.Next());
}

void fleet_model::LoseProcess(slot& item) {
  // The process answered the last poll before it was lost.
  if (item.alive && item.reachable && item.listed) {
    ++item.actual.sequence;
    item.actual.taken_at = now_;
    reports_.Observe(item.actual, now_);
  }
  item.alive = false;
}

fleet_result fleet_model::Run(const std::vector<failure_event>& failures, milliseconds length) {
  KeepActive(kSettleAfterFailure);
  do {
    AdvanceTo(next_tick_);
    Tick();
  } while (down_now_ > 0 || now_ < active_until_);
  result_ = fleet_result{};
  const time_point start = now_;
  const time_point end = start + length;
  std::size_t next_failure = 0;
  while (now_ < end) {
    const bool failures_left = next_failure < failures.size();
    const time_point failure_at =
        failures_left ? start + failures[next_failure].at : time_point::max();
    AdvanceTo(std::min(NextTime(end), failure_at));
    if (now_ == failure_at) Fail(failures[next_failure++]);
    while (!timers_.empty() && timers_.top().at <= now_) {
      const timer due = timers_.top();
      timers_.pop();
      Apply(due);
    }
    if (now_ >= next_tick_) Tick();
    Measure();
  }
  return result_;
}

time_point fleet_model::NextTime(time_point end) const {
  time_point next = end;
  if (!timers_.empty()) next = std::min(next, std::max(now_, timers_.top().at));
  if (now_ < active_until_ || draining_) next = std::min(next, std::max(now_, next_tick_));
  return std::min(next, NextLoadEnd());
}

time_point fleet_model::NextLoadEnd() const {
  double least = 0;
  std::size_t loading = 0;
  for (const slot& item : slots_) {
    if (!item.alive || item.bytes_left <= 0) continue;
    least = loading == 0 ? item.bytes_left : std::min(least, item.bytes_left);
    ++loading;
  }
  if (loading == 0) return time_point::max();
  const double seconds = least * static_cast<double>(loading) / options_.store_bytes_per_second;
  // Rounded up, so that the load has finished by then.
  return now_ + milliseconds(static_cast<std::int64_t>(seconds * 1000) + 1);
}

void fleet_model::AdvanceTo(time_point next) {
  const double elapsed = Seconds(next - now_);
  result_.group_seconds_down += down_now_ * elapsed;
  result_.accelerator_seconds_stranded += stranded_now_ * elapsed;
  std::size_t loading = 0;
  for (const slot& item : slots_) loading += item.alive && item.bytes_left > 0 ? 1 : 0;
  now_ = next;
  if (loading == 0) return;
  const double share = options_.store_bytes_per_second * elapsed / static_cast<double>(loading);
  for (slot& item : slots_) {
    if (!item.alive || item.bytes_left <= 0) continue;
    item.bytes_left -= share;
    if (item.bytes_left > 0) continue;
    item.bytes_left = 0;
    item.actual.state = backend_state::kReady;
    changed_ = true;
    KeepActive(kSettleAfterReturn);
  }
}

void fleet_model::Tick() {
  next_tick_ = now_ + kTickInterval;
  Poll();
  if (list_changed_) ReadVmList();
  const std::set<vm_id> outstanding;
  plan_result planned = planner_.Plan(
      {config_, domain_, vms_, reports_, fencing_number(1), outstanding, now_}, std::move(state_));
  state_ = std::move(planned.state);
  draining_ = !planned.draining.empty();
  for (const replica_order& order : planned.orders) Execute(order);
  if (!planned.orders.empty()) KeepActive(kSettleAfterOrder);
  result_.orders += planned.orders.size();
  Measure();
}

void fleet_model::KeepActive(milliseconds settle) {
  active_until_ = std::max(active_until_, now_ + settle);
}

void fleet_model::ReadVmList() {
  list_changed_ = false;
  vms_.clear();
  for (const slot& item : slots_) {
    if (item.listed) vms_.push_back(item.entry);
  }
  reports_.Retain(vms_);
}

void fleet_model::Poll() {
  for (slot& item : slots_) {
    if (!item.alive || !item.reachable || !item.listed) continue;
    ++item.actual.sequence;
    item.actual.uptime = std::chrono::duration_cast<milliseconds>(now_ - item.started);
    item.actual.taken_at = now_;
    item.actual.running = request_count(now_ < item.drained_at ? 1 : 0);
    reports_.Observe(item.actual, now_);
  }
}

void fleet_model::Execute(const replica_order& order) {
  changed_ = true;
  slot& item = slots_[index_of_.at(order.target)];
  if (!item.alive || !item.reachable) return;
  auto& held = item.actual.assignment;
  if (order.kind == order_kind::kRelease) {
    if (!held || held->replica != order.replica) return;
    held.reset();
    item.actual.state = backend_state::kIdle;
    item.bytes_left = 0;
    return;
  }
  if (held && (held->replica != order.replica || held->generation >= order.generation)) return;
  const bool keeps_weights = held && held->rank == order.rank;
  held = backend_assignment{order.replica, order.model_group, order.generation, order.rank, {}};
  for (const replica_member& member : order.members) held->members.push_back(member.vm);
  if (keeps_weights) return;
  item.actual.state = backend_state::kLoading;
  item.bytes_left = options_.weight_bytes_per_vm;
}

bool fleet_model::IsAffected(const failure_event& failure, std::size_t index) const {
  if (failure.kind != failure_kind::kFabricOutage) return index == failure.index;
  return index / options_.shape.vms_per_fabric == failure.index;
}

std::optional<std::string> fleet_model::UsableReplica(const slot& item) const {
  const bool usable = item.alive && item.reachable && item.listed &&
                      item.entry.state == vm_state::kLive && item.actual.assignment &&
                      item.actual.state == backend_state::kReady;
  if (!usable) return std::nullopt;
  return fmt::format("{} {}", item.actual.assignment->replica.str(),
                     item.actual.assignment->generation.get());
}

void fleet_model::AddDowntimeBound(const failure_event& failure) {
  std::map<std::string, std::pair<std::size_t, affected_replica>> usable;
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    const auto key = UsableReplica(slots_[index]);
    if (!key) continue;
    auto& [ready, replica] = usable[*key];
    ++ready;
    replica.vms = slots_[index].actual.assignment->members.size();
    replica.accelerators_per_vm = options_.accelerators_per_vm;
    if (IsAffected(failure, index)) ++replica.lost_vms;
  }
  // Every VM outside a serving replica may become free during an outage, so it counts as room.
  std::size_t free_vms = 0;
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    const auto key = UsableReplica(slots_[index]);
    const bool serves = key && usable.at(*key).first == usable.at(*key).second.vms;
    if (!IsAffected(failure, index) && !serves) ++free_vms;
  }
  std::vector<affected_replica> affected;
  for (const auto& [key, item] : usable) {
    const auto& [ready, replica] = item;
    if (ready == replica.vms && replica.lost_vms > 0) affected.push_back(replica);
  }
  ++result_.failures;
  if (affected.empty()) return;
  ++result_.affected;
  repair_limits limits;
  limits.load_s = options_.weight_bytes_per_vm / options_.store_bytes_per_second;
  const repair_cost cost = ComputeDowntimeBound(failure, affected, free_vms, limits);
  result_.bound.group_seconds += cost.group_seconds;
  result_.bound.accelerator_seconds += cost.accelerator_seconds;
}

void fleet_model::FailFabric(const failure_event& failure) {
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    slot& item = slots_[index];
    if (!IsAffected(failure, index) || !item.alive) continue;
    LoseProcess(item);
    // Only the network fails; the process and its weights remain.
    item.alive = true;
    item.reachable = false;
  }
  timers_.push({now_ + failure.outage_length, timer_kind::kFabricBack, failure.index, 0});
}

void fleet_model::BeginLeaving(const failure_event& failure) {
  slot& item = slots_[failure.index];
  item.entry.state = vm_state::kLeaving;
  if (item.actual.assignment) {
    for (const vm_id& member : item.actual.assignment->members) {
      const auto found = index_of_.find(member);
      if (found != index_of_.end()) slots_[found->second].drained_at = now_ + failure.drain;
    }
  }
  timers_.push({now_ + kLeavingNotice, timer_kind::kDelist, failure.index, item.instance});
  timers_.push({now_ + failure.outage_length, timer_kind::kNewVm, failure.index, item.instance});
}

void fleet_model::Fail(const failure_event& failure) {
  KeepActive(kSettleAfterFailure);
  changed_ = true;
  list_changed_ = true;
  AddDowntimeBound(failure);
  if (failure.kind == failure_kind::kFabricOutage) {
    FailFabric(failure);
    return;
  }
  slot& item = slots_[failure.index];
  if (!item.alive || !item.listed || item.entry.state == vm_state::kLeaving) return;
  if (failure.kind == failure_kind::kReplacement) {
    BeginLeaving(failure);
    return;
  }
  LoseProcess(item);
  if (failure.kind == failure_kind::kRestart) {
    timers_.push(
        {now_ + failure.outage_length, timer_kind::kProcessUp, failure.index, item.instance});
    return;
  }
  timers_.push({now_ + kDelistDelay, timer_kind::kDelist, failure.index, item.instance});
  timers_.push({now_ + failure.outage_length, timer_kind::kNewVm, failure.index, item.instance});
}

void fleet_model::Apply(const timer& due) {
  KeepActive(kSettleAfterReturn);
  changed_ = true;
  list_changed_ = true;
  if (due.kind == timer_kind::kFabricBack) {
    for (std::size_t index = 0; index < slots_.size(); ++index) {
      if (index / options_.shape.vms_per_fabric == due.index) slots_[index].reachable = true;
    }
    return;
  }
  slot& item = slots_[due.index];
  if (item.instance != due.instance) return;
  switch (due.kind) {
    case timer_kind::kProcessUp:
      StartProcess(item);
      break;
    case timer_kind::kDelist:
      item.alive = false;
      item.listed = false;
      break;
    case timer_kind::kNewVm:
      StartVm(due.index);
      break;
    case timer_kind::kFabricBack:
      break;
  }
}

void fleet_model::Measure() {
  if (!changed_) return;
  changed_ = false;
  struct count {
    std::size_t ready = 0;
    const backend_assignment* claim = nullptr;
  };
  std::unordered_map<std::string, count> usable;
  double held = 0;
  for (const slot& item : slots_) {
    if (item.alive && item.reachable && item.listed && item.actual.assignment) ++held;
    const auto key = UsableReplica(item);
    if (!key) continue;
    count& entry = usable[*key];
    ++entry.ready;
    entry.claim = &*item.actual.assignment;
  }
  std::map<model_group_id, std::uint32_t> serving;
  double in_service = 0;
  for (const auto& [key, entry] : usable) {
    if (entry.ready != entry.claim->members.size()) continue;
    ++serving[entry.claim->model_group];
    in_service += static_cast<double>(entry.ready);
  }
  down_now_ = 0;
  for (const auto& [id, group] : config_.model_groups) {
    if (serving[id] < group.value.replicas) down_now_ += group.value.replicas - serving[id];
  }
  stranded_now_ = (held - in_service) * static_cast<double>(options_.accelerators_per_vm);
}

}  // namespace waxwingwing
