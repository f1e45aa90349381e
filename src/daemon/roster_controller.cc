#include "daemon/roster_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "daemon/coroutine_timer.h"

namespace waxwingwing {

namespace {

constexpr milliseconds kTick{250};
/// A slot is taken from its owner only after the owner has been missing from the VM list for this
/// time.
constexpr milliseconds kOwnerMissingTime{3000};

}  // namespace

roster_controller::roster_controller(control_context& context, log_controller& log,
                                     std::string peer_address)
    : context_(context), log_(log), peer_address_(std::move(peer_address)) {}

void roster_controller::Start() {
  boost::asio::co_spawn(context_.io, Loop(), boost::asio::detached);
}

boost::asio::awaitable<void> roster_controller::Release() {
  releasing_ = true;
  const auto slot = OwnSlot();
  if (!slot) co_return;
  roster_record record;
  record.failure_domain = context_.settings.failure_domain;
  record.slot = *slot;
  record.action = roster_action::kRelease;
  record.vm = context_.settings.vm;
  record.incarnation = context_.own_incarnation;
  record.peer_address = peer_address_;
  const append_id id(context_.random.HexId());
  co_await log_.Append(id, record);
}

std::optional<std::uint32_t> roster_controller::OwnSlot() const {
  const domain_roster* roster = OwnRoster();
  if (roster == nullptr || releasing_) return std::nullopt;
  // One process runs on a VM at a time, so a new process inherits the slot of the previous one. It
  // must not depend on the log, which may be unreachable when the VM restarts.
  for (const auto& [index, slot] : *roster) {
    if (slot.vm == context_.settings.vm) return index;
  }
  return std::nullopt;
}

bool roster_controller::IsRecorded() const {
  const auto slot = OwnSlot();
  return slot && OwnRoster()->at(*slot).incarnation == context_.own_incarnation;
}

boost::asio::awaitable<void> roster_controller::Loop() {
  while (!releasing_) {
    co_await Tick();
    co_await SleepFor(context_.io, kTick);
  }
}

boost::asio::awaitable<void> roster_controller::Tick() {
  if (IsRecorded() || !log_.log_reachable()) co_return;
  const auto claim = NextClaim(context_.clock.Now());
  if (!claim) co_return;
  const append_id id(context_.random.HexId());
  const append_answer answer = co_await log_.Append(id, *claim);
  if (answer.state != append_state::kAppended) co_return;
  // Leaves time for the record to be read back from the control stream before another slot is
  // tried.
  co_await SleepFor(context_.io, kTick);
}

std::optional<roster_record> roster_controller::NextClaim(time_point now) {
  const auto& domains = context_.state.objects().failure_domains;
  const auto domain = domains.find(context_.settings.failure_domain);
  if (domain == domains.end()) return std::nullopt;
  roster_record record;
  record.failure_domain = context_.settings.failure_domain;
  record.vm = context_.settings.vm;
  record.incarnation = context_.own_incarnation;
  record.peer_address = peer_address_;
  const domain_roster none;
  const domain_roster* known = OwnRoster();
  const domain_roster& roster = known == nullptr ? none : *known;
  // The VM's earlier slot comes first, so that a restarted VM does not hold two slots.
  for (const auto& [index, slot] : roster) {
    if (slot.vm != context_.settings.vm) continue;
    record.slot = index;
    return record;
  }
  const std::uint32_t slots = domain->second.value.entry_vms;
  for (record.slot = 0; record.slot < slots; ++record.slot) {
    const auto slot = roster.find(record.slot);
    if (slot == roster.end()) return record;
    if (!MayTakeSlot(slot->second, now)) continue;
    record.based_on = slot->second.offset;
    return record;
  }
  return std::nullopt;
}

bool roster_controller::MayTakeSlot(const roster_slot& slot, time_point now) {
  const bool listed = std::any_of(context_.vms.begin(), context_.vms.end(),
                                  [&](const vm_entry& entry) { return entry.id == slot.vm; });
  if (listed || context_.vms.empty()) {
    missing_since_.erase(slot.vm);
    return false;
  }
  const auto [since, first] = missing_since_.try_emplace(slot.vm, now);
  return !first && now >= since->second + kOwnerMissingTime;
}

const domain_roster* roster_controller::OwnRoster() const {
  const auto& rosters = context_.state.rosters();
  const auto found = rosters.find(context_.settings.failure_domain);
  return found == rosters.end() ? nullptr : &found->second;
}

}  // namespace waxwingwing
