#include "bench/fleet_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace waxwingwing {
namespace {

constexpr milliseconds kTick{500};
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
  for (std::size_t place = 0; place < slots_.size(); ++place) StartVm(place);
}

void fleet_model::StartVm(std::size_t place) {
  slot& item = slots_[place];
  const std::size_t fabric = place / options_.shape.vms_per_fabric;
  const std::uint32_t number = item.number + 1;
  place_of_.erase(item.entry.id);
  item = slot{};
  item.number = number;
  item.entry.id = vm_id(fmt::format("vm{:04}-{}", place, number));
  item.entry.failure_domain = domain_;
  item.entry.fabric_domain = fabric_domain_id(fmt::format("f{:03}", fabric));
  item.entry.accelerators = static_cast<std::uint32_t>(options_.accelerators_per_vm);
  place_of_[item.entry.id] = place;
  StartProcess(item);
}

void fleet_model::StartProcess(slot& item) {
  item.alive = true;
  item.started = now_;
  item.bytes_left = 0;
  item.truth = backend_report{};
  item.truth.vm = item.entry.id;
  item.truth.failure_domain = domain_;
  item.truth.incarnation = incarnation(random_.Next());
}

void fleet_model::LoseProcess(slot& item) {
  // The process answered the last poll before it was lost.
  if (item.alive && item.reachable && item.listed) {
    ++item.truth.sequence;
    item.truth.taken_at = now_;
    reports_.Observe(item.truth, now_);
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
    item.truth.state = backend_state::kReady;
    changed_ = true;
    KeepActive(kSettleAfterReturn);
  }
}

void fleet_model::Tick() {
  next_tick_ = now_ + kTick;
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
    ++item.truth.sequence;
    item.truth.uptime = std::chrono::duration_cast<milliseconds>(now_ - item.started);
    item.truth.taken_at = now_;
    item.truth.running = request_count(now_ < item.drained_at ? 1 : 0);
    reports_.Observe(item.truth, now_);
  }
}

void fleet_model::Execute(const replica_order& order) {
  changed_ = true;
  slot& item = slots_[place_of_.at(order.target)];
  if (!item.alive || !item.reachable) return;
  auto& held = item.truth.assignment;
  if (order.kind == order_kind::kRelease) {
    if (!held || held->replica != order.replica) return;
    held.reset();
    item.truth.state = backend_state::kIdle;
    item.bytes_left = 0;
    return;
  }
  if (held && (held->replica != order.replica || held->generation >= order.generation)) return;
  const bool keeps_weights = held && held->rank == order.rank;
  held = backend_assignment{order.replica, order.model_group, order.generation, order.rank, {}};
  for (const replica_member& member : order.members) held->members.push_back(member.vm);
  if (keeps_weights) return;
  item.truth.state = backend_state::kLoading;
  item.bytes_left = options_.weight_bytes_per_vm;
}

bool fleet_model::IsStruck(const failure_event& failure, std::size_t place) const {
  if (failure.kind != failure_kind::kFabricOutage) return place == failure.place;
  return place / options_.shape.vms_per_fabric == failure.place;
}

std::optional<std::string> fleet_model::UsableReplica(const slot& item) const {
  const bool usable = item.alive && item.reachable && item.listed &&
                      item.entry.state == vm_state::kLive && item.truth.assignment &&
                      item.truth.state == backend_state::kReady;
  if (!usable) return std::nullopt;
  return fmt::format("{} {}", item.truth.assignment->replica.str(),
                     item.truth.assignment->generation.get());
}

void fleet_model::AddBound(const failure_event& failure) {
  std::map<std::string, std::pair<std::size_t, struck_replica>> usable;
  for (std::size_t place = 0; place < slots_.size(); ++place) {
    const auto key = UsableReplica(slots_[place]);
    if (!key) continue;
    auto& [ready, replica] = usable[*key];
    ++ready;
    replica.vms = slots_[place].truth.assignment->members.size();
    replica.accelerators_per_vm = options_.accelerators_per_vm;
    if (IsStruck(failure, place)) ++replica.lost_vms;
  }
  // Every VM outside a serving replica may become free during an outage, so it counts as room.
  std::size_t room = 0;
  for (std::size_t place = 0; place < slots_.size(); ++place) {
    const auto key = UsableReplica(slots_[place]);
    const bool serves = key && usable.at(*key).first == usable.at(*key).second.vms;
    if (!IsStruck(failure, place) && !serves) ++room;
  }
  std::vector<struck_replica> struck;
  for (const auto& [key, item] : usable) {
    const auto& [ready, replica] = item;
    if (ready == replica.vms && replica.lost_vms > 0) struck.push_back(replica);
  }
  ++result_.failures;
  if (struck.empty()) return;
  ++result_.struck;
  repair_limits limits;
  limits.load_s = options_.weight_bytes_per_vm / options_.store_bytes_per_second;
  const repair_cost cost = BoundOf(failure, struck, room, limits);
  result_.bound.group_seconds += cost.group_seconds;
  result_.bound.accelerator_seconds += cost.accelerator_seconds;
}

void fleet_model::FailFabric(const failure_event& failure) {
  for (std::size_t place = 0; place < slots_.size(); ++place) {
    slot& item = slots_[place];
    if (!IsStruck(failure, place) || !item.alive) continue;
    LoseProcess(item);
    // Only the network fails; the process and its weights remain.
    item.alive = true;
    item.reachable = false;
  }
  timers_.push({now_ + failure.lasts, timer_kind::kFabricBack, failure.place, 0});
}

void fleet_model::BeginLeaving(const failure_event& failure) {
  slot& item = slots_[failure.place];
  item.entry.state = vm_state::kLeaving;
  if (item.truth.assignment) {
    for (const vm_id& member : item.truth.assignment->members) {
      const auto found = place_of_.find(member);
      if (found != place_of_.end()) slots_[found->second].drained_at = now_ + failure.drain;
    }
  }
  timers_.push({now_ + kLeavingNotice, timer_kind::kDelist, failure.place, item.number});
  timers_.push({now_ + failure.lasts, timer_kind::kNewVm, failure.place, item.number});
}

void fleet_model::Fail(const failure_event& failure) {
  KeepActive(kSettleAfterFailure);
  changed_ = true;
  list_changed_ = true;
  AddBound(failure);
  if (failure.kind == failure_kind::kFabricOutage) {
    FailFabric(failure);
    return;
  }
  slot& item = slots_[failure.place];
  if (!item.alive || !item.listed || item.entry.state == vm_state::kLeaving) return;
  if (failure.kind == failure_kind::kReplacement) {
    BeginLeaving(failure);
    return;
  }
  LoseProcess(item);
  if (failure.kind == failure_kind::kRestart) {
    timers_.push({now_ + failure.lasts, timer_kind::kProcessUp, failure.place, item.number});
    return;
  }
  timers_.push({now_ + kDelistDelay, timer_kind::kDelist, failure.place, item.number});
  timers_.push({now_ + failure.lasts, timer_kind::kNewVm, failure.place, item.number});
}

void fleet_model::Apply(const timer& due) {
  KeepActive(kSettleAfterReturn);
  changed_ = true;
  list_changed_ = true;
  if (due.kind == timer_kind::kFabricBack) {
    for (std::size_t place = 0; place < slots_.size(); ++place) {
      if (place / options_.shape.vms_per_fabric == due.place) slots_[place].reachable = true;
    }
    return;
  }
  slot& item = slots_[due.place];
  if (item.number != due.number) return;
  switch (due.kind) {
    case timer_kind::kProcessUp:
      StartProcess(item);
      break;
    case timer_kind::kDelist:
      item.alive = false;
      item.listed = false;
      break;
    case timer_kind::kNewVm:
      StartVm(due.place);
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
    if (item.alive && item.reachable && item.listed && item.truth.assignment) ++held;
    const auto key = UsableReplica(item);
    if (!key) continue;
    count& entry = usable[*key];
    ++entry.ready;
    entry.claim = &*item.truth.assignment;
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
