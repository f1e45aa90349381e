#include "waxwingwing/idempotency/claim_index.h"

#include <cassert>
#include <variant>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

/// Estimated memory overhead of the containers, in bytes, for one owned key and for one entry of
/// `retention_queue_`.
constexpr std::uint64_t kOwnerOverhead = 384;
constexpr std::uint64_t kRetentionEntryOverhead = 96;

template <typename owner_key>
std::uint64_t RetentionEntryBytes(const owner_key& key) {
  return kRetentionEntryOverhead + key.first.str().size() + key.second.size();
}

template <typename owner_key>
std::uint64_t OwnerBytes(const owner_key& key, const claim_owner& owner) {
  const std::uint64_t key_bytes = key.first.str().size() + key.second.size();
  const std::uint64_t id_bytes = 2 * owner.claim.str().size() + owner.vm.str().size();
  return kOwnerOverhead + 2 * key_bytes + id_bytes;
}

std::uint64_t OutcomeBytes(const claim_owner& owner) {
  if (!owner.outcome) return 0;
  return owner.outcome->body.size() + owner.outcome->content_type.size();
}

}  // namespace

std::size_t claim_index::owner_key_hash::operator()(const owner_key& key) const noexcept {
  return StableHash(key.second, StableHash(key.first.str()));
}

void claim_index::SkipTo(log_offset first) {
  if (first > next_offset_) next_offset_ = first;
}

applied_claims claim_index::Apply(log_offset offset, const append_id& id, std::string_view payload,
                                  time_point now) {
  if (offset != next_offset_) return {};
  next_offset_ = next_offset_.Next();
  if (!recent_appends_.Add(id)) return {claims_apply_result::kDuplicate, {}};
  const result<claims_record> record = DecodeClaimsRecord(payload);
  if (!record || record->based_on > offset) return {claims_apply_result::kMalformed, {}};

  applied_claims applied{claims_apply_result::kApplied, {}};
  for (const claims_entry& entry : record->entries) {
    if (const auto* claim = std::get_if<claim_entry>(&entry)) {
      applied.decided.push_back({claim->claim, ApplyClaim(*claim, record->based_on, now)});
    } else if (const auto* outcome = std::get_if<outcome_entry>(&entry)) {
      ApplyOutcome(*outcome);
    } else {
      ApplyRelease(std::get<release_entry>(entry));
    }
  }
  return applied;
}

claim_resolution claim_index::ApplyClaim(const claim_entry& entry, log_offset based_on,
                                         time_point now) {
  const std::uint64_t lag = next_offset_.get() - 1 - based_on.get();
  if (lag > limits_.max_lag) return claim_resolution::kTooLate;
  const owner_key key{entry.key.organisation, entry.key.key};
  retention_queue_.emplace_back(now, key);
  bytes_ += RetentionEntryBytes(key);
  const auto found = owners_.find(key);
  if (found != owners_.end()) {
    found->second.last_claimed_at = now;
    return claim_resolution::kLost;
  }
  // A claim id belongs to one key only; otherwise the key of an outcome or a release, which hold
  // just the claim id, would be ambiguous.
  if (keys_by_claim_.contains(entry.claim)) return claim_resolution::kLost;
  claim_owner owner;
  owner.claim = entry.claim;
  owner.fingerprint = entry.key.fingerprint;
  owner.vm = entry.vm;
  owner.incarnation = entry.incarnation;
  owner.last_claimed_at = now;
  bytes_ += OwnerBytes(key, owner);
  keys_by_claim_[entry.claim] = key;
  owners_.emplace(key, std::move(owner));
  return claim_resolution::kWon;
}

void claim_index::ApplyOutcome(const outcome_entry& entry) {
  const auto key = keys_by_claim_.find(entry.claim);
  if (key == keys_by_claim_.end()) return;
  claim_owner& owner = owners_.at(key->second);
  if (owner.outcome || owner.outcome_lost) return;
  if (!entry.outcome) {
    owner.outcome_lost = true;
    return;
  }
  owner.outcome = entry.outcome;
  bytes_ += OutcomeBytes(owner);
  outcome_bytes_ += OutcomeBytes(owner);
  outcome_order_.push_back(entry.claim);
  EvictOldOutcomes();
}

void claim_index::ApplyRelease(const release_entry& entry) {
  const auto key = keys_by_claim_.find(entry.claim);
  if (key == keys_by_claim_.end()) return;
  const auto owner = owners_.find(key->second);
  // A call with an outcome was run, so its key must not be freed by a release.
  if (owner->second.outcome || owner->second.outcome_lost) return;
  Erase(owner);
}

void claim_index::Expire(time_point now) {
  while (!retention_queue_.empty() && retention_queue_.front().first + limits_.retention <= now) {
    const auto [last_claimed_at, key] = std::move(retention_queue_.front());
    retention_queue_.pop_front();
    bytes_ -= RetentionEntryBytes(key);
    const auto owner = owners_.find(key);
    if (owner != owners_.end() && owner->second.last_claimed_at == last_claimed_at) Erase(owner);
  }
  while (!outcome_order_.empty() && !keys_by_claim_.contains(outcome_order_.front())) {
    outcome_order_.pop_front();
  }
}

void claim_index::Erase(owner_map::iterator owner) {
  DropOutcome(owner->second);
  bytes_ -= OwnerBytes(owner->first, owner->second);
  keys_by_claim_.erase(owner->second.claim);
  owners_.erase(owner);
}

void claim_index::DropOutcome(claim_owner& owner) {
  const std::uint64_t dropped = OutcomeBytes(owner);
  bytes_ -= dropped;
  outcome_bytes_ -= dropped;
  owner.outcome.reset();
  owner.outcome_lost = true;
}

void claim_index::EvictOldOutcomes() {
  while (outcome_bytes_ > limits_.max_outcome_bytes.get()) {
    assert(!outcome_order_.empty());
    const auto key = keys_by_claim_.find(outcome_order_.front());
    outcome_order_.pop_front();
    if (key != keys_by_claim_.end()) DropOutcome(owners_.at(key->second));
  }
}

const claim_owner* claim_index::Find(const organisation_id& organisation,
                                     const std::string& key) const {
  const auto found = owners_.find({organisation, key});
  return found == owners_.end() ? nullptr : &found->second;
}

bool claim_index::AcceptsNewClaims() const {
  return owners_.size() < limits_.max_keys && bytes_ < limits_.max_bytes.get();
}

}  // namespace waxwingwing
