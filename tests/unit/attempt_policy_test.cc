#include "waxwingwing/streaming/attempt_policy.h"

#include <catch2/catch.hpp>

namespace waxwingwing {
namespace {

using failure = attempt_failure;
using truth = attempt_truth;

struct policy_case {
  const char* name;
  attempt_situation situation;
  bool budget;
  next_step step;
  std::string_view code;
  truth expected_truth;
};

attempt_situation Situation(failure kind, std::uint64_t delivered, bool repeatable, bool sent,
                            std::uint32_t retries = 0) {
  return {kind, token_count(delivered), repeatable, sent, retries, 3};
}

const policy_case kCases[] = {
    {"nothing sent, another server may be tried",
     Situation(failure::kConnectFailed, 0, true, false), true, next_step::kRetryElsewhere, "",
     truth::kNotRun},
    {"nothing sent, also a call that must not run twice may go elsewhere",
     Situation(failure::kConnectFailed, 0, false, false), true, next_step::kRetryElsewhere, "",
     truth::kNotRun},
    {"nothing sent and no budget is a true not_run",
     Situation(failure::kConnectFailed, 0, true, false), false, next_step::kGiveUp,
     "retry_budget_exhausted", truth::kNotRun},
    {"a connect failure after an attempt that sent is unknown",
     Situation(failure::kConnectFailed, 0, true, true, 3), true, next_step::kGiveUp,
     "backend_unreachable", truth::kUnknown},
    {"a call that must not run twice is never sent again",
     Situation(failure::kNoAnswer, 0, false, true), true, next_step::kGiveUp, "outcome_unknown",
     truth::kUnknown},
    {"not even after an attempt that sent and one that did not",
     Situation(failure::kConnectFailed, 0, false, true), true, next_step::kGiveUp,
     "outcome_unknown", truth::kUnknown},
    {"a dead path resumes on the same server", Situation(failure::kPathDead, 7, true, true), true,
     next_step::kResumeSame, "", truth::kUnknown},
    // A network device that drops all connections at once must not end the streams of live servers.
    {"a dead path resumes without a retry budget", Situation(failure::kPathDead, 7, true, true),
     false, next_step::kResumeSame, "", truth::kUnknown},
    {"a dead path resumes a bounded number of times",
     Situation(failure::kPathDead, 7, true, true, 3), true, next_step::kGiveUp, "backend_timeout",
     truth::kUnknown},
    {"a dead server resumes elsewhere", Situation(failure::kServerDead, 7, true, true), true,
     next_step::kRetryElsewhere, "", truth::kUnknown},
    {"a cut stream resumes", Situation(failure::kStreamCut, 1, true, true), true,
     next_step::kRetryElsewhere, "", truth::kUnknown},
    {"a cut stream without retries left is incomplete",
     Situation(failure::kStreamCut, 1, true, true, 3), true, next_step::kGiveUp,
     "stream_incomplete", truth::kUnknown},
    {"a foreign answer is asked for again", Situation(failure::kWrongAnswer, 0, true, true), true,
     next_step::kRetryElsewhere, "", truth::kUnknown},
    {"a replica that changed is left", Situation(failure::kNotAssigned, 0, true, true), true,
     next_step::kRetryElsewhere, "", truth::kUnknown},
    {"a rejected request is not tried elsewhere",
     Situation(failure::kRequestRejected, 0, true, true), true, next_step::kGiveUp,
     "request_rejected", truth::kUnknown},
    {"delivered tokens prove that it ran", Situation(failure::kConnectFailed, 1, true, false, 3),
     true, next_step::kGiveUp, "backend_unreachable", truth::kUnknown},
};

TEST_CASE("the attempt policy follows its table", "[streaming]") {
  for (const policy_case& row : kCases) {
    INFO(row.name);
    const auto decision = DecideNextStep(row.situation, [&] { return row.budget; });
    CHECK(decision.step == row.step);
    CHECK(decision.code == row.code);
    CHECK(decision.truth == row.expected_truth);
  }
}

TEST_CASE("the retry budget is not spent on a request that is given up", "[streaming]") {
  int taken = 0;
  const auto take = [&] { return ++taken > 0; };
  DecideNextStep(Situation(failure::kStreamCut, 1, true, true, 3), take);
  DecideNextStep(Situation(failure::kNoAnswer, 0, false, true), take);
  DecideNextStep(Situation(failure::kRequestRejected, 0, true, true), take);
  REQUIRE(taken == 0);
  DecideNextStep(Situation(failure::kStreamCut, 1, true, true, 2), take);
  REQUIRE(taken == 1);
}

TEST_CASE("no failure is reported as not_run once a byte may be sent", "[streaming]") {
  for (int kind = 0; kind <= static_cast<int>(failure::kRequestRejected); ++kind) {
    for (const bool repeatable : {false, true}) {
      const auto situation = Situation(static_cast<failure>(kind), 0, repeatable, true);
      for (const bool budget : {false, true}) {
        const auto decision = DecideNextStep(situation, [&] { return budget; });
        CHECK(decision.truth == truth::kUnknown);
        if (!repeatable) CHECK(decision.step == next_step::kGiveUp);
      }
    }
  }
}

}  // namespace
}  // namespace waxwingwing
