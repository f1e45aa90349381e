#include "waxwingwing/election/controller_lease.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

/// Upper limit of the appends in one era; at 2.5 a second they take 12 years.
constexpr std::uint64_t kMaxAppendsPerEra = 1'000'000'000;
/// Terms of more eras repeat; epochs that are counted from terms must stay below 2^53.
constexpr std::uint64_t kMaxEras = 4096;

std::uint64_t TermOf(const lease_record& record) {
  return record.era.get() % kMaxEras * kMaxAppendsPerEra + record.end;
}

}  // namespace

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

bool controller_lease::MayHideHolder(const lease_record& record) const {
  if (!has_record_) return record.end > 0 && (record.holder.empty() || record.holder == self_);
  if (record.era > record_.era) return true;
  // An append of this VM that failed in an earlier era may have taken effect only now.
  return record.holder == self_ && !IsHolder() && record.end != record_.end &&
         failed_in_ < record.era;
}

void controller_lease::Observe(const lease_record& record, time_point now) {
  // What other VMs say may be older than what this one has seen.
  const bool is_older = record.position() < record_.position();
  if (record.era < record_.era || (!unknown_ && is_older)) {
    not_before_ = std::max(not_before_, now + options_.retry_pause);
    return;
  }
  RecordSuccess(now);
  if (MayHideHolder(record)) claims_from_ = std::max(claims_from_, now + options_.trust);
  if (record.era > record_.era) EndTerm();
  has_record_ = true;
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
  failed_in_ = record_.era;
  not_before_ = now + retry_pause_;
  retry_pause_ = std::min(
      retry_pause_ * 2, IsHolder() ? options_.longest_holder_pause : options_.longest_retry_pause);
}

void controller_lease::RecordSuccess(time_point now) {
  retry_pause_ = options_.retry_pause;
  if (failing_) claims_from_ = now + options_.outage_grace;
  failing_ = false;
}

void controller_lease::RecordAppended(std::uint64_t end, store_era era, time_point sent_at,
                                      time_point now) {
  if (era != record_.era) return RecordConflict();
  const bool is_first = record_.end == 0;
  RecordSuccess(now);
  record_ = {self_, end, era};
  unknown_ = false;
  first_seen_ = last_seen_ = now;
  if (!IsHolder()) {
    term_ = TermOf(record_);
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
