#include "waxwingwing/election/controller_lease.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {

controller_lease::controller_lease(std::string self, duration claim_delay, time_point now,
                                   const controller_lease_options& options)
    : self_(std::move(self)),
      claim_delay_(claim_delay),
      options_(options),
      first_seen_(now),
      last_seen_(now),
      not_before_(now + claim_delay),
      retry_pause_(options.retry_pause) {}

time_point controller_lease::ClaimAt() const {
  // A lease that was released, or that nobody has held, is free at once, and so is that of a claim
  // of this VM whose answer was lost.
  const bool is_free = record_.holder.empty() || record_.holder == self_;
  const duration lifetime = is_free ? duration::zero() : options_.lifetime;
  return std::max(first_seen_ + lifetime, claims_from_) + claim_delay_;
}

time_point controller_lease::NextAt(time_point now) const {
  if (unknown_) return std::max(now, not_before_);
  if (IsHolder()) {
    const time_point due = renewed_at_ ? *renewed_at_ + options_.renew_interval : now;
    return std::max({now, due, not_before_});
  }
  return std::max({now, ClaimAt(), not_before_});
}

lease_step controller_lease::Next(time_point now) const {
  if (now < NextAt(now)) return lease_step::kWait;
  if (unknown_) return lease_step::kRead;
  if (IsHolder()) return lease_step::kAppend;
  // Many VMs wait for the same moment; those that come later learn of the new holder by a read.
  const bool seen_after_expiry = last_seen_ >= ClaimAt() - claim_delay_ / 2;
  return seen_after_expiry ? lease_step::kAppend : lease_step::kRead;
}

void controller_lease::Observe(const lease_record& record, time_point now) {
  // What other VMs say may be older than what this one has seen.
  if (!unknown_ && record.end < record_.end) return;
  RecordSuccess(now);
  last_seen_ = now;
  if (record != record_) first_seen_ = now;
  unknown_ = false;
  record_ = record;
  if (record_.holder != self_) EndTerm();
}

void controller_lease::RecordFailure(time_point now) {
  // The append may have taken effect, now or later.
  unknown_ = true;
  failing_ = true;
  not_before_ = now + retry_pause_;
  retry_pause_ = std::min(
      retry_pause_ * 2, IsHolder() ? options_.longest_holder_pause : options_.longest_retry_pause);
}

void controller_lease::RecordSuccess(time_point now) {
  retry_pause_ = options_.retry_pause;
  if (failing_) claims_from_ = now + options_.outage_grace;
  failing_ = false;
}

void controller_lease::RecordAppended(std::uint64_t end, time_point sent_at, time_point now) {
  const bool is_first = record_.end == 0;
  RecordSuccess(now);
  record_ = {self_, end};
  unknown_ = false;
  first_seen_ = last_seen_ = now;
  if (!IsHolder()) {
    term_ = end;
    acts_from_ = is_first ? now : now + options_.takeover_wait;
  }
  renewed_at_ = sent_at;
}

void controller_lease::RecordConflict() { unknown_ = true; }

void controller_lease::EndTerm() {
  term_ = 0;
  renewed_at_.reset();
}

bool controller_lease::MayAct(time_point now) const {
  if (!IsHolder() || !renewed_at_) return false;
  return now >= acts_from_ && now <= *renewed_at_ + options_.trust;
}

}  // namespace waxwingwing
