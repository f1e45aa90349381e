#include "waxwingwing/streaming/attempt_policy.h"

#include <catch2/catch.hpp>

namespace waxwingwing {
namespace {

using failure = attempt_failure;
using execution = execution_status;

struct policy_case {
  const char* name;
  failed_attempt attempt;
  bool budget;
  next_step step;
  std::string_view code;
  execution expected_execution;
};

failed_attempt FailedAttempt(failure kind, std::uint64_t delivered, bool repeatable, bool sent,
                             std::uint32_t retries = 0) {
  return {kind, token_count(delivered), repeatable, sent, retries, 3};
}

const policy_case kCases[] = {
    {"a request that was not sent is retried on another server",
     FailedAttempt(failure::kConnectFailed, 0, true, false), true, next_step::kRetryOtherServer, "",
     execution::kNotRun},
    {"a call that must not run twice is retried on another server if it was not sent",
     FailedAttempt(failure::kConnectFailed, 0, false, false), true, next_step::kRetryOtherServer,
     "", execution::kNotRun},
    {"without retry budget, not_run is true for a request that was not sent",
     FailedAttempt(failure::kConnectFailed, 0, true, false), false, next_step::kAnswerError,
     "retry_budget_exhausted", execution::kNotRun},
    {"a connect failure after an earlier attempt that was sent is reported as unknown",
     FailedAttempt(failure::kConnectFailed, 0, true, true, 3), true, next_step::kAnswerError,
     "backend_unreachable", execution::kUnknown},
    {"a call that must not run twice is never retried once it was sent",
     FailedAttempt(failure::kNoAnswer, 0, false, true), true, next_step::kAnswerError,
     "outcome_unknown", execution::kUnknown},
    {"such a call is not retried either after an earlier attempt that was sent",
     FailedAttempt(failure::kConnectFailed, 0, false, true), true, next_step::kAnswerError,
     "outcome_unknown", execution::kUnknown},
    {"a failed network path resumes on the same server",
     FailedAttempt(failure::kConnectionStalled, 7, true, true), true, next_step::kResumeSameServer,
     "", execution::kUnknown},
    // Guards against a network device that drops all connections at once: the many resumptions must
    // not exhaust the retry budget and so end the streams of servers that are running.
    {"a failed network path resumes without retry budget",
     FailedAttempt(failure::kConnectionStalled, 7, true, true), false, next_step::kResumeSameServer,
     "", execution::kUnknown},
    {"a failed network path resumes a limited number of times",
     FailedAttempt(failure::kConnectionStalled, 7, true, true, 3), true, next_step::kAnswerError,
     "backend_timeout", execution::kUnknown},
    {"the stream of an unresponsive server resumes on another server",
     FailedAttempt(failure::kServerUnresponsive, 7, true, true), true, next_step::kRetryOtherServer,
     "", execution::kUnknown},
    {"a stream that is cut resumes on another server",
     FailedAttempt(failure::kStreamInterrupted, 1, true, true), true, next_step::kRetryOtherServer,
     "", execution::kUnknown},
    {"a stream that is cut without retries left is reported as incomplete",
     FailedAttempt(failure::kStreamInterrupted, 1, true, true, 3), true, next_step::kAnswerError,
     "stream_incomplete", execution::kUnknown},
    {"a response to another request is retried on another server",
     FailedAttempt(failure::kWrongAnswer, 0, true, true), true, next_step::kRetryOtherServer, "",
     execution::kUnknown},
    {"a request to a server that no longer serves the replica is retried on another server",
     FailedAttempt(failure::kNotAssigned, 0, true, true), true, next_step::kRetryOtherServer, "",
     execution::kUnknown},
    {"a rejected request is not retried", FailedAttempt(failure::kRequestRejected, 0, true, true),
     true, next_step::kAnswerError, "request_rejected", execution::kUnknown},
    {"a request with delivered tokens is never reported as not_run",
     FailedAttempt(failure::kConnectFailed, 1, true, false, 3), true, next_step::kAnswerError,
     "backend_unreachable", execution::kUnknown},
};

TEST_CASE("the attempt policy gives the step, error code and outcome of each failure",
          "[streaming]") {
  for (const policy_case& row : kCases) {
    INFO(row.name);
    const auto decision = DecideNextStep(row.attempt, [&] { return row.budget; });
    CHECK(decision.step == row.step);
    CHECK(decision.code == row.code);
    CHECK(decision.execution == row.expected_execution);
  }
}

TEST_CASE("the retry budget is not spent on a request that is not retried", "[streaming]") {
  int taken = 0;
  const auto take = [&] { return ++taken > 0; };
  DecideNextStep(FailedAttempt(failure::kStreamInterrupted, 1, true, true, 3), take);
  DecideNextStep(FailedAttempt(failure::kNoAnswer, 0, false, true), take);
  DecideNextStep(FailedAttempt(failure::kRequestRejected, 0, true, true), take);
  REQUIRE(taken == 0);
  DecideNextStep(FailedAttempt(failure::kStreamInterrupted, 1, true, true, 2), take);
  REQUIRE(taken == 1);
}

TEST_CASE("no failure is reported as not_run once a byte may have been sent", "[streaming]") {
  for (int kind = 0; kind <= static_cast<int>(failure::kRequestRejected); ++kind) {
    for (const bool repeatable : {false, true}) {
      const auto attempt = FailedAttempt(static_cast<failure>(kind), 0, repeatable, true);
      for (const bool budget : {false, true}) {
        const auto decision = DecideNextStep(attempt, [&] { return budget; });
        CHECK(decision.execution == execution::kUnknown);
        if (!repeatable) CHECK(decision.step == next_step::kAnswerError);
      }
    }
  }
}

}  // namespace
}  // namespace waxwingwing
