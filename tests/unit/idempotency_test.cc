#include <catch2/catch.hpp>
#include <string>

#include "tests/unit/mutation.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/idempotency/claim_decision.h"
#include "waxwingwing/idempotency/claim_index.h"

namespace waxwingwing {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

idempotency_key Key(const std::string& key, std::uint64_t fingerprint = 1) {
  return {organisation_id("bank"), key, fingerprint};
}

claim_entry Claim(const char* id, const std::string& key, std::uint64_t fingerprint = 1) {
  return {append_id(id), Key(key, fingerprint), vm_id("vm"), incarnation(1)};
}

pending_claim Pending(const char* id, bool sent) {
  pending_claim own;
  own.claim = append_id(id);
  own.key = Key("k");
  own.sent = sent;
  return own;
}

/// Applies entries to an index, each in a separate record.
class claims_log {
 public:
  explicit claims_log(claim_limits limits = {}) : index(limits) {}

  claim_resolution Append(const claims_entry& entry, time_point now = kStart) {
    const append_id id("append-" + std::to_string(index.next_offset().get()));
    const std::string payload = EncodeClaimsRecord({index.next_offset(), {entry}});
    const applied_claims applied = index.Apply(index.next_offset(), id, payload, now);
    REQUIRE(applied.result == claims_apply_result::kApplied);
    return applied.decided.empty() ? claim_resolution::kLost : applied.decided[0].resolution;
  }

  claim_decision Decide(const pending_claim& own, const claim_conditions& conditions = {}) const {
    return DecideClaim(index, own, conditions, kStart);
  }

  claim_index index;
};

TEST_CASE("claims records preserve keys and bodies of any bytes", "[idempotency]") {
  std::string bytes;
  for (int value = 0; value < 256; ++value) bytes += static_cast<char>(value);
  claims_record record{log_offset(4), {}};
  record.entries.emplace_back(Claim("c1", bytes, UINT64_MAX));
  record.entries.emplace_back(
      outcome_entry{append_id("c1"), recorded_outcome{200, "text/plain", bytes}});
  record.entries.emplace_back(release_entry{append_id("c2")});
  const auto read = DecodeClaimsRecord(EncodeClaimsRecord(record));
  REQUIRE(read);
  REQUIRE(read->based_on == log_offset(4));
  REQUIRE(read->entries.size() == 3);
  REQUIRE(std::get<claim_entry>(read->entries[0]).key.key == bytes);
  REQUIRE(std::get<claim_entry>(read->entries[0]).key.fingerprint == UINT64_MAX);
  REQUIRE(std::get<outcome_entry>(read->entries[1]).outcome->body == bytes);
  REQUIRE(std::get<release_entry>(read->entries[2]).claim == append_id("c2"));
}

TEST_CASE("the first claim in log order wins", "[idempotency]") {
  claims_log log;
  REQUIRE(log.Append(Claim("c1", "k")) == claim_resolution::kWon);
  REQUIRE(log.Append(Claim("c2", "k")) == claim_resolution::kLost);
  const claim_decision won = log.Decide(Pending("c1", true));
  REQUIRE(won.answer.result == claim_result::kWon);
  REQUIRE(won.answer.claim == append_id("c1"));
  REQUIRE(log.Decide(Pending("c2", true)).step == claim_step::kWait);

  log.Append(outcome_entry{append_id("c1"), recorded_outcome{201, "a/b", "body"}});
  const claim_decision recorded = log.Decide(Pending("c2", true));
  REQUIRE(recorded.answer.result == claim_result::kRecorded);
  REQUIRE(recorded.answer.outcome->status == 201);
}

TEST_CASE("a released key is free, but only after the release of the claim that owns it",
          "[idempotency]") {
  claims_log log;
  log.Append(Claim("c1", "k"));
  log.Append(Claim("c2", "k"));
  log.Append(release_entry{append_id("c2")});
  REQUIRE(log.index.Find(organisation_id("bank"), "k")->claim == append_id("c1"));
  log.Append(release_entry{append_id("c1")});
  pending_claim loser = Pending("c2", true);
  loser.resolution = claim_resolution::kLost;
  REQUIRE(log.Decide(loser).step == claim_step::kClaimAgain);
  REQUIRE(log.Append(Claim("c3", "k")) == claim_resolution::kWon);
  // A delayed duplicate of the first release must not free the key, which another claim owns now.
  log.Append(release_entry{append_id("c1")});
  REQUIRE(log.index.Find(organisation_id("bank"), "k")->claim == append_id("c3"));
}

TEST_CASE("a release after an outcome does not free the key", "[idempotency]") {
  claims_log log;
  log.Append(Claim("c1", "k"));
  log.Append(outcome_entry{append_id("c1"), std::nullopt});
  log.Append(release_entry{append_id("c1")});
  REQUIRE(log.Append(Claim("c2", "k")) == claim_resolution::kLost);
  REQUIRE(log.Decide(Pending("c2", true)).answer.result == claim_result::kOutcomeUnknown);
}

TEST_CASE("a key with another fingerprint is refused", "[idempotency]") {
  claims_log log;
  log.Append(Claim("c1", "k", 2));
  REQUIRE(log.Decide(Pending("c2", false)).answer.result == claim_result::kKeyReused);
}

TEST_CASE("a terminated owner or a passed deadline gives an unknown outcome", "[idempotency]") {
  claims_log log;
  log.Append(Claim("c1", "k"));
  claim_conditions dead;
  dead.owner_terminated = true;
  REQUIRE(log.Decide(Pending("c2", true), dead).answer.result == claim_result::kOutcomeUnknown);
  claim_conditions late;
  late.deadline_passed = true;
  REQUIRE(log.Decide(Pending("c2", true), late).answer.result == claim_result::kOutcomeUnknown);
}

TEST_CASE("an outage is answered with not run only if no other claim is possible",
          "[idempotency]") {
  claims_log log;
  REQUIRE(log.Decide(Pending("c1", false)).step == claim_step::kAppend);
  claim_conditions outage;
  outage.log_reachable = false;
  outage.index_current_at = kStart - milliseconds(1);
  // Another entry VM may have claimed the key since the last read of the log.
  REQUIRE(log.Decide(Pending("c1", false), outage).answer.result ==
          claim_result::kUnavailableUnknown);
  outage.index_current_at = kStart;
  REQUIRE(log.Decide(Pending("c1", false), outage).answer.result ==
          claim_result::kUnavailableNotRun);
  // A claim that was sent may still win, so it waits for its deadline.
  REQUIRE(log.Decide(Pending("c1", true), outage).step == claim_step::kWait);
  outage.deadline_passed = true;
  REQUIRE(log.Decide(Pending("c1", true), outage).answer.result ==
          claim_result::kUnavailableUnknown);
}

TEST_CASE("an abandoned claim that wins later is released", "[idempotency]") {
  abandoned_claims abandoned;
  abandoned.Add(append_id("c1"));
  abandoned.Add(append_id("c2"));
  const auto releases = abandoned.TakeReleases({{append_id("c1"), claim_resolution::kWon},
                                                {append_id("c2"), claim_resolution::kLost},
                                                {append_id("c3"), claim_resolution::kWon}});
  REQUIRE(releases.size() == 1);
  REQUIRE(releases[0].claim == append_id("c1"));
  REQUIRE(abandoned.TakeReleases({{append_id("c1"), claim_resolution::kWon}}).empty());
}

TEST_CASE("a full index allows no new claims but drops none that it applies", "[idempotency]") {
  claim_limits limits;
  limits.max_keys = 2;
  claims_log log(limits);
  log.Append(Claim("c1", "k1"));
  REQUIRE(log.index.AcceptsNewClaims());
  log.Append(Claim("c2", "k2"));
  REQUIRE_FALSE(log.index.AcceptsNewClaims());
  REQUIRE(log.Decide(Pending("c9", false)).answer.result == claim_result::kUnavailableUnknown);
  // Claims of entry VMs that have more memory are still applied.
  REQUIRE(log.Append(Claim("c3", "k3")) == claim_resolution::kWon);
  REQUIRE(log.index.Find(organisation_id("bank"), "k1") != nullptr);
}

TEST_CASE("outcomes above the limit are dropped, oldest first; their keys stay claimed",
          "[idempotency]") {
  claim_limits limits;
  limits.max_outcome_bytes = byte_count(150);
  claims_log log(limits);
  for (const char* id : {"c1", "c2"}) {
    log.Append(Claim(id, id));
    log.Append(outcome_entry{append_id(id), recorded_outcome{200, "", std::string(100, 'x')}});
  }
  const claim_owner* const first = log.index.Find(organisation_id("bank"), "c1");
  REQUIRE_FALSE(first->outcome);
  REQUIRE(first->outcome_lost);
  REQUIRE(log.index.Find(organisation_id("bank"), "c2")->outcome);
}

TEST_CASE("a key expires after the retention, counted from its last claim", "[idempotency]") {
  claims_log log;
  log.Append(Claim("c1", "k"));
  log.Append(outcome_entry{append_id("c1"), recorded_outcome{200, "", "x"}});
  log.Append(Claim("c2", "k"), kStart + std::chrono::hours(23));
  // c2 may have won in the index of an entry VM that removed c1 earlier, so the key must be
  // retained for a day after c2.
  log.index.Expire(kStart + std::chrono::hours(24));
  REQUIRE(log.index.KeyCount() == 1);
  log.index.Expire(kStart + std::chrono::hours(47));
  REQUIRE(log.index.KeyCount() == 0);
  REQUIRE(log.index.Bytes() == byte_count(0));
}

TEST_CASE("a duplicate that is appended after its id left the append window is void",
          "[idempotency]") {
  claims_log log;
  const std::string payload = EncodeClaimsRecord({log_offset(0), {Claim("c1", "k")}});
  const auto apply = [&](const std::string& id, const std::string& text) {
    return log.index.Apply(log.index.next_offset(), append_id(id), text, kStart);
  };
  REQUIRE(apply("batch", payload).decided[0].resolution == claim_resolution::kWon);
  log.Append(release_entry{append_id("c1")});
  REQUIRE(apply("batch", payload).result == claims_apply_result::kDuplicate);
  for (std::size_t i = 0; i <= append_window::kSize; ++i) apply(std::to_string(i), "-");
  // Without the limit on the lag, the duplicate of the released claim would block the key.
  REQUIRE(apply("batch", payload).decided[0].resolution == claim_resolution::kTooLate);
  REQUIRE(log.index.KeyCount() == 0);
}

TEST_CASE("malformed claims records are skipped", "[idempotency]") {
  const char* const body_of_no_bytes =
      R"({"based_on":0,"entries":[{"kind":"outcome","claim":"c","status":200,)"
      R"("content_type":"","body":"\u0100"}]})";
  claims_log log;
  for (const char* payload :
       {"", "[]", R"({"based_on":0})", R"({"based_on":99,"entries":[]})",
        R"({"based_on":0,"entries":[{"kind":"x"}]})", R"({"based_on":0,"entries":[7]})",
        R"({"based_on":0,"entries":[{"kind":"claim","claim":"c"}]})", body_of_no_bytes}) {
    const log_offset offset = log.index.next_offset();
    const append_id id(std::to_string(offset.get()));
    CHECK(log.index.Apply(offset, id, payload, kStart).result == claims_apply_result::kMalformed);
  }
  REQUIRE(log.index.next_offset() == log_offset(8));
  REQUIRE(log.index.Apply(log_offset(0), append_id("x"), "", kStart).result ==
          claims_apply_result::kWrongOffset);
}

TEST_CASE("the index applies a mutated claims record or rejects it as malformed",
          "[idempotency][fuzz]") {
  random_source random(20240704);
  claims_log log;
  std::uint64_t applied = 0;
  for (std::uint64_t run = 0; run < 30000; ++run) {
    claims_record record{log.index.next_offset(), {}};
    const std::string claim = std::to_string(random.Below(50));
    record.entries.emplace_back(Claim(claim.c_str(), "k" + claim));
    record.entries.emplace_back(
        outcome_entry{append_id(claim), recorded_outcome{200, "text/plain", "\xff body"}});
    record.entries.emplace_back(release_entry{append_id(claim)});
    const std::string payload = Mutate(EncodeClaimsRecord(record), random);
    CAPTURE(run, payload);
    const append_id id("append-" + std::to_string(run));
    const auto result = log.index.Apply(log_offset(run), id, payload, kStart).result;
    REQUIRE((result == claims_apply_result::kApplied || result == claims_apply_result::kMalformed));
    REQUIRE(log.index.next_offset() == log_offset(run + 1));
    const auto read = DecodeClaimsRecord(payload);
    if (!read) continue;
    ++applied;
    REQUIRE(DecodeClaimsRecord(EncodeClaimsRecord(*read)));
  }
  CHECK(applied > 100);
}

}  // namespace
}  // namespace waxwingwing
