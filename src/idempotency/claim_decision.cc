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
                           const claim_conditions& conditions) {
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
  const bool no_outcome_expected =
      owner.outcome_lost || conditions.owner_terminated || conditions.deadline_passed;
  return no_outcome_expected ? Answer(claim_result::kOutcomeUnknown) : Step(claim_step::kWait);
}

claim_decision Refuse(const pending_claim& own, const claim_conditions& conditions,
                      time_point now) {
  const bool proved =
      !own.sent && conditions.index_current_at && *conditions.index_current_at >= now;
  return Answer(proved ? claim_result::kUnavailableNotRun : claim_result::kUnavailableUnknown);
}

}  // namespace

claim_decision DecideClaim(const claim_index& index, const pending_claim& own,
                           const claim_conditions& conditions, time_point now) {
  const claim_owner* const owner = index.Find(own.key.organisation, own.key.key);
  if (owner != nullptr) return DecideOwned(*owner, own, conditions);
  if (conditions.deadline_passed) return Refuse(own, conditions, now);
  if (own.sent && !own.resolution) return Step(claim_step::kWait);
  if (!conditions.log_reachable || !index.AcceptsNewClaims()) return Refuse(own, conditions, now);
  return Step(own.sent ? claim_step::kClaimAgain : claim_step::kAppend);
}

std::vector<release_entry> abandoned_claims::TakeReleases(
    const std::vector<decided_claim>& decided) {
  std::vector<release_entry> releases;
  for (const decided_claim& item : decided) {
    if (claims_.erase(item.claim) == 0 || item.resolution != claim_resolution::kWon) continue;
    releases.push_back({item.claim});
  }
  return releases;
}

}  // namespace waxwingwing
