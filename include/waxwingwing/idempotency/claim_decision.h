#pragma once

#include <optional>
#include <set>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/gateway/control_access.h"
#include "waxwingwing/idempotency/claim_index.h"

namespace waxwingwing {

/// A request of this entry VM that claims an idempotency key.
struct pending_claim {
  append_id claim;
  idempotency_key key;
  /// Whether an append with the claim was passed to the log, regardless of its result.
  bool sent = false;
  /// Set from `claim_index::Apply`, or to `kTooLate` when the index skipped records.
  std::optional<claim_resolution> resolution;
};

/// Conditions besides the index on which the decision about a claim depends.
struct claim_conditions {
  bool log_reachable = true;
  /// When the last read that brought the index up to date with the log was sent.
  std::optional<time_point> index_current_at;
  /// Whether the process incarnation that owns the key is known to have terminated.
  bool owner_terminated = false;
  /// Whether the deadline of the request has passed, so that it cannot wait any longer.
  bool deadline_passed = false;
};

/// What to do next for a request that claims a key.
enum class claim_step {
  /// Pass `answer` to the request and drop the claim. A claim that was sent but is not decided yet
  /// is added to `abandoned_claims`.
  kAnswer,
  /// Wait until the index has applied further records, or for the deadline.
  kWait,
  /// Append the claim to the log.
  kAppend,
  /// The claim was lost or void and the key is free now: claim it again with a new claim id.
  kClaimAgain,
};

/// The next step for a claim, with the answer to the request if the step is `kAnswer`.
struct claim_decision {
  claim_step step = claim_step::kWait;
  claim_answer answer;
};

/// Decides what to do next for a request, as of `now`.
///
/// The answer is `kUnavailableNotRun` only if the claim was never sent and the key had no owner in
/// an index read at or after `now`; during an outage of the log, this cannot be proved.
claim_decision DecideClaim(const claim_index& index, const pending_claim& own,
                           const claim_conditions& conditions, time_point now);

/// Claims whose requests were answered before the log order decided them. A claim that wins
/// afterwards is released, since otherwise its key would stay blocked although no entry VM runs the
/// call.
class abandoned_claims {
 public:
  void Add(append_id claim) { claims_.insert(std::move(claim)); }
  /// Removes the decided claims and returns the releases to append for those that won.
  std::vector<release_entry> TakeReleases(const std::vector<decided_claim>& decided);

 private:
  std::set<append_id> claims_;
};

}  // namespace waxwingwing
