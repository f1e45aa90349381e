#pragma once

#include <optional>
#include <set>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/gateway/control_access.h"
#include "waxwingwing/idempotency/claim_index.h"

namespace waxwingwing {

/// A request of this entry VM that wants to own a key.
struct pending_claim {
  append_id claim;
  idempotency_key key;
  /// An append with the claim was handed to the log, whatever came back.
  bool sent = false;
  /// Set from `claim_index::Apply`, or to `kTooLate` when the index skipped records.
  std::optional<claim_fate> fate;
};

struct claim_situation {
  bool log_reachable = true;
  /// When the last read that returned everything was sent.
  std::optional<time_point> index_current_at;
  /// The incarnation that owns the key is known to be gone.
  bool owner_gone = false;
  /// The request cannot wait any longer.
  bool deadline_passed = false;
};

enum class claim_step {
  /// Give `answer` to the request and drop the claim; add one that was sent and has no fate yet to
  /// `abandoned_claims`.
  kAnswer,
  kWait,
  /// Append the claim.
  kAppend,
  /// The claim is spent and the key is free: claim again with a new claim id.
  kClaimAgain,
};

struct claim_decision {
  claim_step step = claim_step::kWait;
  claim_answer answer;
};

/// Decides on a request as of `now`.
///
/// `kUnavailableNotRun` is given only for a claim that was never sent, on a key that nobody owned
/// in an index read at or after `now`; in an outage of the log that cannot be shown.
claim_decision DecideClaim(const claim_index& index, const pending_claim& own,
                           const claim_situation& situation, time_point now);

/// Claims that were given up before the log decided on them. One that wins later is released, or
/// its key would stay blocked although nobody runs the call.
class abandoned_claims {
 public:
  void Add(append_id claim) { claims_.insert(std::move(claim)); }
  /// Releases to append for the claims that were decided.
  std::vector<release_entry> TakeReleases(const std::vector<decided_claim>& decided);

 private:
  std::set<append_id> claims_;
};

}  // namespace waxwingwing
