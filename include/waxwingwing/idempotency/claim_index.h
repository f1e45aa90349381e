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

struct claim_limits {
  /// Keys and bytes above which this entry VM makes no new claims.
  std::size_t max_keys = 200000;
  byte_count max_bytes{std::uint64_t{48} << 20U};
  /// Bytes of recorded outcomes above which the oldest are dropped; their keys stay claimed.
  byte_count max_outcome_bytes{std::uint64_t{16} << 20U};
  /// Time for which a key is remembered after the last claim for it.
  std::chrono::hours retention{24};
  /// Records by which a claim may land after its `based_on`. Less than what `append_window`
  /// remembers, so that a copy of an accepted claim is always recognised.
  std::uint64_t max_lag = append_window::kSize / 2;
};

/// The claim that owns a key.
struct claim_owner {
  append_id claim;
  std::uint64_t fingerprint = 0;
  vm_id vm;
  waxwingwing::incarnation incarnation;
  std::optional<recorded_outcome> outcome;
  /// The call is over, but its outcome was too large or has been dropped.
  bool outcome_lost = false;
  /// When the last claim for the key was applied.
  time_point touched_at{};
};

enum class claim_fate {
  kWon,
  /// Another claim owned the key.
  kLost,
  /// It landed too late and is void.
  kTooLate,
};

struct decided_claim {
  append_id claim;
  claim_fate fate = claim_fate::kLost;
};

enum class claims_apply_result { kApplied, kDuplicate, kMalformed, kWrongOffset };

struct applied_claims {
  claims_apply_result result = claims_apply_result::kWrongOffset;
  std::vector<decided_claim> decided;
};

/// Who owns which idempotency key after a prefix of the `claims` stream; log order decides.
///
/// An applied claim is never forgotten for lack of memory: the entry VM that runs the call may have
/// more room than this one. Past a bound, `HasRoom` tells the owner to make no new claims instead.
/// A losing claim prolongs the retention of its key, because another entry VM, whose retention
/// ended earlier, may have seen it win.
class claim_index {
 public:
  explicit claim_index(claim_limits limits = {}) : limits_(limits) {}
  claim_index(const claim_index&) = delete;
  claim_index& operator=(const claim_index&) = delete;

  /// Passes over records that the log no longer keeps. Ignored when `first` was passed already.
  void SkipTo(log_offset first);
  /// Applies the record at `offset`, which must be `next_offset()`. `payload` is JSON text.
  applied_claims Apply(log_offset offset, const append_id& id, std::string_view payload,
                       time_point now);
  /// Forgets keys whose retention has ended.
  void Expire(time_point now);

  /// Null when nobody owns the key.
  const claim_owner* Find(const organisation_id& organisation, const std::string& key) const;
  bool HasRoom() const;
  log_offset next_offset() const { return next_offset_; }
  std::size_t KeyCount() const { return owners_.size(); }
  byte_count Bytes() const { return byte_count(bytes_); }

 private:
  using owner_key = std::pair<organisation_id, std::string>;
  struct owner_key_hash {
    std::size_t operator()(const owner_key& key) const noexcept;
  };
  using owner_map = std::unordered_map<owner_key, claim_owner, owner_key_hash>;

  claim_fate ApplyClaim(const claim_entry& entry, log_offset based_on, time_point now);
  void ApplyOutcome(const outcome_entry& entry);
  void ApplyRelease(const release_entry& entry);
  void Erase(owner_map::iterator owner);
  void DropOutcome(claim_owner& owner);
  void BoundOutcomes();

  const claim_limits limits_;
  log_offset next_offset_;
  append_window recent_appends_;
  owner_map owners_;
  std::unordered_map<append_id, owner_key> keys_by_claim_;
  /// Claims in the order applied, to find keys whose retention has ended.
  std::deque<std::pair<time_point, owner_key>> touches_;
  /// Claims with an outcome, oldest first.
  std::deque<append_id> outcome_order_;
  std::uint64_t bytes_ = 0;
  std::uint64_t outcome_bytes_ = 0;
};

}  // namespace waxwingwing
