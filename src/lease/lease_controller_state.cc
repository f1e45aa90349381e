#include "waxwingwing/lease/lease_controller_state.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

duration Percent(milliseconds time, std::uint32_t percent) {
  return duration(time) * percent / 100;
}

}  // namespace

lease_controller_state::lease_controller_state(lease_participant self, lease_timing timing,
                                               random_source ids)
    : self_(std::move(self)), timing_(timing), append_id_source_(ids) {}

void lease_controller_state::Observe(const domain_lease* latest, time_point now) {
  std::optional<domain_lease> seen;
  if (latest != nullptr) seen = *latest;
  if (first_seen_ && seen == latest_) return;
  latest_ = std::move(seen);
  first_seen_ = now;
  ResolvePending();
}

void lease_controller_state::ResolvePending() {
  if (!IsHolder()) valid_from_.reset();
  if (!pending_) return;
  if (latest_ && latest_->record == pending_->append.id) {
    valid_from_ = pending_->first_sent;
    pending_.reset();
  } else if (LatestOffset() != pending_->append.record.based_on) {
    // The record's precondition can never hold again, so it has no effect even if it arrives later.
    pending_.reset();
  }
}

lease_decision lease_controller_state::Decide(const std::vector<vm_id>& live_members,
                                              time_point now) {
  if (!first_seen_) return {};
  if (pending_) return RetryAppend(now);
  if (IsHolder()) return DecideAsHolder(now);
  if (releasing_ || now < EarliestClaimTime(live_members)) return {};
  return StartAppend(lease_action::kClaim, now);
}

lease_decision lease_controller_state::DecideAsHolder(time_point now) {
  if (releasing_) {
    if (now < orders_expire_at_) return {lease_action::kHold, std::nullopt};
    return StartAppend(lease_action::kRelease, now);
  }
  const bool renew_due = !valid_from_ || now >= *valid_from_ + timing_.renew_interval;
  if (!renew_due) return {lease_action::kHold, std::nullopt};
  return StartAppend(lease_action::kRenew, now);
}

time_point lease_controller_state::EarliestClaimTime(const std::vector<vm_id>& live_members) const {
  const std::uint32_t rank = ClaimRank(self_.failure_domain, self_.vm, live_members);
  time_point claim_time = *first_seen_ + timing_.rank_delay * rank;
  if (latest_ && !latest_->released) {
    claim_time += Percent(latest_->duration, timing_.successor_percent) + timing_.order_in_flight;
  }
  return claim_time;
}

lease_decision lease_controller_state::StartAppend(lease_action action, time_point now) {
  lease_append append;
  append.id = append_id(append_id_source_.HexId());
  append.record.failure_domain = self_.failure_domain;
  append.record.vm = self_.vm;
  append.record.incarnation = self_.incarnation;
  append.record.based_on = LatestOffset();
  append.record.released = action == lease_action::kRelease;
  pending_ = pending_append{action, append, now, now};
  return {action, std::move(append)};
}

lease_decision lease_controller_state::RetryAppend(time_point now) {
  const lease_action waiting = IsHolder() ? lease_action::kHold : lease_action::kWait;
  // A claim is not sent again during shutdown; if the one sent before still takes effect, the lease
  // is released.
  const bool unwanted = releasing_ && pending_->action != lease_action::kRelease;
  const bool too_early = now < pending_->last_sent + timing_.append_retry;
  if (pending_->answered || too_early || (unwanted && !IsHolder())) return {waiting, std::nullopt};
  pending_->last_sent = now;
  return {pending_->action, pending_->append};
}

void lease_controller_state::RecordAppendAnswered(const append_id& id) {
  if (pending_ && pending_->append.id == id) pending_->answered = true;
}

void lease_controller_state::RecordOrder(milliseconds timeout, time_point now) {
  orders_expire_at_ = std::max(orders_expire_at_, now + timeout + timing_.order_in_flight);
}

bool lease_controller_state::IsHolder() const {
  return latest_ && !latest_->released && latest_->vm == self_.vm &&
         latest_->incarnation == self_.incarnation;
}

std::optional<time_point> lease_controller_state::ValidUntil() const {
  if (!IsHolder() || !valid_from_) return std::nullopt;
  return *valid_from_ + Percent(latest_->duration, timing_.holder_percent);
}

fencing_number lease_controller_state::Fencing() const {
  return latest_ ? latest_->fencing : fencing_number();
}

order_permission lease_controller_state::PermittedOrders(milliseconds timeout,
                                                         time_point now) const {
  if (releasing_ || !IsHolder()) return order_permission::kNone;
  const std::optional<time_point> end = ValidUntil();
  const bool ends_in_time = end && now + timeout <= *end;
  return ends_in_time ? order_permission::kAll : order_permission::kFencingEnginesOnly;
}

std::optional<log_offset> lease_controller_state::LatestOffset() const {
  if (!latest_) return std::nullopt;
  return latest_->offset;
}

}  // namespace waxwingwing
