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
    {"a request that was not sent is retried on another server",
     Situation(failure::kConnectFailed, 0, true, false), true, next_step::kRetryElsewhere, "",
     truth::kNotRun},
    {"a call that must not run twice is retried on another server if it was not sent",
     Situation(failure::kConnectFailed, 0, false, false), true, next_step::kRetryElsewhere, "",
     truth::kNotRun},
    {"without retry budget, not_run is true for a request that was not sent",
     Situation(failure::kConnectFailed, 0, true, false), false, next_step::kGiveUp,
     "retry_budget_exhausted", truth::kNotRun},
    {"a connect failure after an earlier attempt that was sent is reported as unknown",
     Situation(failure::kConnectFailed, 0, true, true, 3), true, next_step::kGiveUp,
     "backend_unreachable", truth::kUnknown},
    {"a call that must not run twice is never retried once it was sent",
     Situation(failure::kNoAnswer, 0, false, true), true, next_step::kGiveUp, "outcome_unknown",
     truth::kUnknown},
    {"such a call is not retried either after an earlier attempt that was sent",
     Situation(failure::kConnectFailed, 0, false, true), true, next_step::kGiveUp,
     "outcome_unknown", truth::kUnknown},
    {"a failed network path resumes on the same server",
     Situation(failure::kPathDead, 7, true, true), true, next_step::kResumeSame, "",
     truth::kUnknown},
    // Guards against a network device that drops all connections at once: the many resumptions must
    // not exhaust the retry budget and so end the streams of servers that are running.
    {"a failed network path resumes without retry budget",
     Situation(failure::kPathDead, 7, true, true), false, next_step::kResumeSame, "",
     truth::kUnknown},
    {"a failed network path resumes a limited number of times",
     Situation(failure::kPathDead, 7, true, true, 3), true, next_step::kGiveUp, "backend_timeout",
     truth::kUnknown},
    {"the stream of an unresponsive server resumes on another server",
     Situation(failure::kServerDead, 7, true, true), true, next_step::kRetryElsewhere, "",
     truth::kUnknown},
    {"a stream that is cut resumes on another server",
     Situation(failure::kStreamCut, 1, true, true), true, next_step::kRetryElsewhere, "",
     truth::kUnknown},
    {"a stream that is cut without retries left is reported as incomplete",
     Situation(failure::kStreamCut, 1, true, true, 3), true, next_step::kGiveUp,
     "stream_incomplete", truth::kUnknown},
    {"a response to another request is retried on another server",
     Situation(failure::kWrongAnswer, 0, true, true), true, next_step::kRetryElsewhere, "",
     truth::kUnknown},
    {"a request to a server that no longer serves the replica is retried on another server",
     Situation(failure::kNotAssigned, 0, true, true), true, next_step::kRetryElsewhere, "",
     truth::kUnknown},
    {"a rejected request is not retried", Situation(failure::kRequestRejected, 0, true, true), true,
     next_step::kGiveUp, "request_rejected", truth::kUnknown},
    {"a request with delivered tokens is never reported as not_run",
     Situation(failure::kConnectFailed, 1, true, false, 3), true, next_step::kGiveUp,
     "backend_unreachable", truth::kUnknown},
};

TEST_CASE("the attempt policy gives the step, error code and outcome of each failure",
          "[streaming]") {
  for (const policy_case& row : kCases) {
    INFO(row.name);
    const auto decision = DecideNextStep(row.situation, [&] { return row.budget; });
    CHECK(decision.step == row.step);
    CHECK(decision.code == row.code);
    CHECK(decision.truth == row.expected_truth);
  }
}

TEST_CASE("the retry budget is not spent on a request that is not retried", "[streaming]") {
  int taken = 0;
  const auto take = [&] { return ++taken > 0; };
  DecideNextStep(Situation(failure::kStreamCut, 1, true, true, 3), take);
  DecideNextStep(Situation(failure::kNoAnswer, 0, false, true), take);
  DecideNextStep(Situation(failure::kRequestRejected, 0, true, true), take);
  REQUIRE(taken == 0);
  DecideNextStep(Situation(failure::kStreamCut, 1, true, true, 2), take);
  REQUIRE(taken == 1);
}

TEST_CASE("no failure is reported as not_run once a byte may have been sent", "[streaming]") {
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
