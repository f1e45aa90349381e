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
constexpr std::array<failure_rule, 11> kRules = {{
    {"connect_failed", next_step::kRetryElsewhere, "backend_unreachable"},
    {"send_failed", next_step::kRetryElsewhere, "backend_failed"},
    {"no_answer", next_step::kRetryElsewhere, "backend_failed"},
    {"first_byte_timeout", next_step::kRetryElsewhere, "backend_timeout"},
    {"path_dead", next_step::kResumeSame, "backend_timeout"},
    {"server_dead", next_step::kRetryElsewhere, "backend_failed"},
    {"stream_cut", next_step::kRetryElsewhere, "stream_incomplete"},
    {"wrong_answer", next_step::kRetryElsewhere, "wrong_answer"},
    {"not_assigned", next_step::kRetryElsewhere, "replica_changed"},
    {"server_refused", next_step::kRetryElsewhere, "backend_refused"},
    {"request_rejected", next_step::kGiveUp, "request_rejected"},
}};

const failure_rule& RuleOf(attempt_failure failure) {
  return kRules.at(static_cast<std::size_t>(failure));
}

}  // namespace

std::string_view ToText(attempt_failure failure) { return RuleOf(failure).name; }

bool GaveNoAnswer(attempt_failure failure) {
  return failure == attempt_failure::kConnectFailed || failure == attempt_failure::kNoAnswer ||
         failure == attempt_failure::kServerDead;
}

std::string_view ToText(attempt_truth truth) {
  return truth == attempt_truth::kNotRun ? "not_run" : "unknown";
}

attempt_decision DecideNextStep(const attempt_situation& situation,
                                const std::function<bool()>& take_budget) {
  const failure_rule& rule = RuleOf(situation.failure);
  const bool sent = situation.byte_may_be_sent || situation.delivered.get() > 0;
  const attempt_truth truth = sent ? attempt_truth::kUnknown : attempt_truth::kNotRun;
  if (sent && !situation.repeatable) return {next_step::kGiveUp, "outcome_unknown", truth};
  if (rule.step == next_step::kGiveUp) return {next_step::kGiveUp, rule.code, truth};
  if (situation.retries >= situation.max_retries) return {next_step::kGiveUp, rule.code, truth};
  // Resuming on the same server adds no load to any other server, so it takes nothing from the
  // retry budget; `max_retries`, checked above, bounds the number of such resumptions.
  const bool adds_load = rule.step != next_step::kResumeSame;
  if (adds_load && !take_budget()) return {next_step::kGiveUp, "retry_budget_exhausted", truth};
  return {rule.step, {}, truth};
}

}  // namespace waxwingwing
