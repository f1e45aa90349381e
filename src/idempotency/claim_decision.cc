#include "waxwingwing/idempotency/claim_decision.h"

namespace waxwingwing {
namespace {

claim_decision Answer(claim_result result) {
  claim_decision decision;
  decision.step = claim_step::kAnswer;
  decision.answer.result = result;
  return decision;
}

claim_decision Step(claim_step step) {
  claim_decision decision;
  decision.step = step;
  return decision;
}

claim_decision DecideOwned(const claim_owner& owner, const pending_claim& own,
                           const claim_situation& situation) {
  if (owner.claim == own.claim) {
    claim_decision won = Answer(claim_result::kWon);
    won.answer.claim = own.claim;
    return won;
  }
  if (owner.fingerprint != own.key.fingerprint) return Answer(claim_result::kKeyReused);
  if (owner.outcome) {
    claim_decision recorded = Answer(claim_result::kRecorded);
    recorded.answer.outcome = owner.outcome;
    return recorded;
  }
  const bool hopeless = owner.outcome_lost || situation.owner_gone || situation.deadline_passed;
  return hopeless ? Answer(claim_result::kOutcomeUnknown) : Step(claim_step::kWait);
}

claim_decision Refuse(const pending_claim& own, const claim_situation& situation, time_point now) {
  const bool proved = !own.sent && situation.index_current_at && *situation.index_current_at >= now;
  return Answer(proved ? claim_result::kUnavailableNotRun : claim_result::kUnavailableUnknown);
}

}  // namespace

claim_decision DecideClaim(const claim_index& index, const pending_claim& own,
                           const claim_situation& situation, time_point now) {
  const claim_owner* const owner = index.Find(own.key.organisation, own.key.key);
  if (owner != nullptr) return DecideOwned(*owner, own, situation);
  if (situation.deadline_passed) return Refuse(own, situation, now);
  if (own.sent && !own.fate) return Step(claim_step::kWait);
  if (!situation.log_reachable || !index.HasRoom()) return Refuse(own, situation, now);
  return Step(own.sent ? claim_step::kClaimAgain : claim_step::kAppend);
}

std::vector<release_entry> abandoned_claims::TakeReleases(
    const std::vector<decided_claim>& decided) {
  std::vector<release_entry> releases;
  for (const decided_claim& item : decided) {
    if (claims_.erase(item.claim) == 0 || item.fate != claim_fate::kWon) continue;
    releases.push_back({item.claim});
  }
  return releases;
}

}  // namespace waxwingwing
