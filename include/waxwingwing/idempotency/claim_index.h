#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "waxwingwing/core/append_window.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/idempotency/claims_record.h"

namespace waxwingwing {

/// Limits on the memory and the retention of a `claim_index`.
struct claim_limits {
  /// Number of keys and bytes from which this entry VM makes no new claims.
  std::size_t max_keys = 200000;
  byte_count max_bytes{std::uint64_t{48} << 20U};
  /// Bytes of recorded outcomes above which the oldest outcomes are dropped; their keys stay
  /// claimed.
  byte_count max_outcome_bytes{std::uint64_t{16} << 20U};
  /// Time for which a key is retained after the last claim for it.
  std::chrono::hours retention{24};
  /// Number of records that may precede a claim in the log after its `based_on`. Less than the
  /// number of records that `append_window` remembers, so that a duplicate of an accepted claim is
  /// always recognised.
  std::uint64_t max_lag = append_window::kSize / 2;
};

/// The claim that owns a key.
struct claim_owner {
  append_id claim;
  std::uint64_t fingerprint = 0;
  vm_id vm;
  waxwingwing::incarnation incarnation;
  std::optional<recorded_outcome> outcome;
  /// Whether the call has ended but its outcome is not available, because it was too large to
  /// record or has been dropped.
  bool outcome_lost = false;
  /// When the last claim for the key was applied.
  time_point last_claimed_at{};
};

/// How the log order decided a claim.
enum class claim_resolution {
  kWon,
  /// Another claim owned the key, or the claim id had been used for another key.
  kLost,
  /// The claim was appended more than `max_lag` records after its `based_on` and is void.
  kTooLate,
};

struct decided_claim {
  append_id claim;
  claim_resolution resolution = claim_resolution::kLost;
};

enum class claims_apply_result { kApplied, kDuplicate, kMalformed, kWrongOffset };

struct applied_claims {
  claims_apply_result result = claims_apply_result::kWrongOffset;
  std::vector<decided_claim> decided;
};

/// Maps each idempotency key to the claim that owns it, after a prefix of the `claims` stream. Of
/// several claims for a key, the first in log order wins.
///
/// An applied claim is never dropped for lack of memory, because the entry VM that runs the call
/// may have more memory than this one. Instead, `AcceptsNewClaims` returns false above a limit, and
/// the owner of the index then makes no new claims. A losing claim extends the retention of its
/// key, because it may have won in the index of another entry VM whose retention of the key ended
/// earlier. Not thread-safe.
class claim_index {
 public:
  explicit claim_index(claim_limits limits = {}) : limits_(limits) {}
  claim_index(const claim_index&) = delete;
  claim_index& operator=(const claim_index&) = delete;

  /// Skips records before `first`, which the log no longer keeps. Ignored if the index is already
  /// at or past `first`.
  void SkipTo(log_offset first);
  /// Applies the record at `offset`, which must be `next_offset()`. `payload` is JSON text.
  applied_claims Apply(log_offset offset, const append_id& id, std::string_view payload,
                       time_point now);
  /// Removes the keys whose retention has ended.
  void Expire(time_point now);

  /// Returns the owner of the key; null when the key is not owned.
  const claim_owner* Find(const organisation_id& organisation, const std::string& key) const;
  /// Whether the index is below its limits, so that this entry VM may make new claims.
  bool AcceptsNewClaims() const;
  log_offset next_offset() const { return next_offset_; }
  std::size_t KeyCount() const { return owners_.size(); }
  byte_count Bytes() const { return byte_count(bytes_); }

 private:
  using owner_key = std::pair<organisation_id, std::string>;
  struct owner_key_hash {
    std::size_t operator()(const owner_key& key) const noexcept;
  };
  using owner_map = std::unordered_map<owner_key, claim_owner, owner_key_hash>;

  claim_resolution ApplyClaim(const claim_entry& entry, log_offset based_on, time_point now);
  void ApplyOutcome(const outcome_entry& entry);
  void ApplyRelease(const release_entry& entry);
  void Erase(owner_map::iterator owner);
  void DropOutcome(claim_owner& owner);
  void EvictOldOutcomes();

  const claim_limits limits_;
  log_offset next_offset_;
  append_window recent_appends_;
  owner_map owners_;
  std::unordered_map<append_id, owner_key> keys_by_claim_;
  /// Key and time of each claim, in the order applied, to find the keys whose retention has ended.
  std::deque<std::pair<time_point, owner_key>> retention_queue_;
  /// Claims with a recorded outcome, oldest first.
  std::deque<append_id> outcome_order_;
  std::uint64_t bytes_ = 0;
  std::uint64_t outcome_bytes_ = 0;
};

}  // namespace waxwingwing
