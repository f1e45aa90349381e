#include "waxwingwing/streaming/attempt_policy.h"

#include <array>
#include <cstddef>

namespace waxwingwing {
namespace {

/// Label of a failure, and what the entry VM does after it while retries are left.
struct failure_rule {
  std::string_view name;
  next_step step;
  /// Error code when the request is not retried.
  std::string_view code;
};

// Indexed by `attempt_failure`.
constexpr std::array<failure_rule, 11> kFailureRules = {{
    {"connect_failed", next_step::kRetryOtherServer, "backend_unreachable"},
    {"send_failed", next_step::kRetryOtherServer, "backend_failed"},
    {"no_answer", next_step::kRetryOtherServer, "backend_failed"},
    {"first_byte_timeout", next_step::kRetryOtherServer, "backend_timeout"},
    {"path_dead", next_step::kResumeSameServer, "backend_timeout"},
    {"server_dead", next_step::kRetryOtherServer, "backend_failed"},
    {"stream_cut", next_step::kRetryOtherServer, "stream_incomplete"},
    {"wrong_answer", next_step::kRetryOtherServer, "wrong_answer"},
    {"not_assigned", next_step::kRetryOtherServer, "replica_changed"},
    {"server_refused", next_step::kRetryOtherServer, "backend_refused"},
    {"request_rejected", next_step::kAnswerError, "request_rejected"},
}};

const failure_rule& RuleOf(attempt_failure failure) {
  return kFailureRules.at(static_cast<std::size_t>(failure));
}

}  // namespace

std::string_view ToText(attempt_failure failure) { return RuleOf(failure).name; }

bool IndicatesUnresponsiveServer(attempt_failure failure) {
  return failure == attempt_failure::kConnectFailed || failure == attempt_failure::kNoAnswer ||
         failure == attempt_failure::kServerUnresponsive;
}

std::string_view ToText(execution_status execution) {
  return execution == execution_status::kNotRun ? "not_run" : "unknown";
}

attempt_decision DecideNextStep(const failed_attempt& attempt,
                                const std::function<bool()>& take_budget) {
  const failure_rule& rule = RuleOf(attempt.failure);
  const bool sent = attempt.byte_may_be_sent || attempt.delivered.get() > 0;
  const execution_status execution = sent ? execution_status::kUnknown : execution_status::kNotRun;
  if (sent && !attempt.repeatable) return {next_step::kAnswerError, "outcome_unknown", execution};
  if (rule.step == next_step::kAnswerError) return {next_step::kAnswerError, rule.code, execution};
  if (attempt.retries >= attempt.max_retries)
    return {next_step::kAnswerError, rule.code, execution};
  // Resuming on the same server adds no load to any other server, so it takes nothing from the
  // retry budget; `max_retries`, checked above, bounds the number of such resumptions.
  const bool adds_load = rule.step != next_step::kResumeSameServer;
  if (adds_load && !take_budget())
    return {next_step::kAnswerError, "retry_budget_exhausted", execution};
  return {rule.step, {}, execution};
}

}  // namespace waxwingwing
