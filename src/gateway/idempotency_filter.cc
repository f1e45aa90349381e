#include "gateway/idempotency_filter.h"

#include <chrono>

#include "gateway/callback_wait.h"
#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

// The control thread answers by the deadline; the margin covers its scheduling delay.
constexpr milliseconds kAnswerMargin{1000};
constexpr milliseconds kRetryAfterUnavailable{2000};

idempotency_key MakeIdempotencyKey(const request_context& context) {
  idempotency_key key;
  key.organisation = context.organisation->id;
  // The key includes the service, so that a key used at one service does not replay at another.
  key.key = context.service->id.str() + "/" + std::string(context.Header("Idempotency-Key"));
  const auto& request = context.parser.get();
  std::string call(request.method_string());
  call += '\n';
  call += context.service_target;
  call += '\n';
  call += request.body();
  key.fingerprint = StableHash(call);
  return key;
}

void Replay(request_context& context, const recorded_outcome& outcome) {
  context.answer.status = outcome.status;
  context.answer.content_type = outcome.content_type;
  context.answer.body = outcome.body;
  context.answer.headers.push_back({"X-Idempotent-Replay", "true"});
}

void RefuseUnavailable(request_context& context, execution_status truth) {
  context.earlier_call_may_have_run = false;
  context.Refuse({"idempotency_unavailable", "the key cannot be claimed at present", truth,
                  kRetryAfterUnavailable});
}

filter_step ApplyClaimAnswer(request_context& context, const claim_answer& answer) {
  switch (answer.result) {
    case claim_result::kWon:
      context.earlier_call_may_have_run = false;
      context.claim = std::make_unique<claim_guard>(context.core.control, answer.claim);
      return filter_step::kNext;
    case claim_result::kRecorded:
      if (answer.outcome) {
        Replay(context, *answer.outcome);
        return filter_step::kAnswered;
      }
      break;
    case claim_result::kKeyReused:
      context.earlier_call_may_have_run = false;
      context.Refuse({"idempotency_key_reused", "the key was used for another call"});
      return filter_step::kAnswered;
    case claim_result::kUnavailableNotRun:
      RefuseUnavailable(context, execution_status::kNotRun);
      return filter_step::kAnswered;
    case claim_result::kUnavailableUnknown:
      RefuseUnavailable(context, execution_status::kUnknown);
      return filter_step::kAnswered;
    case claim_result::kOutcomeUnknown:
      break;
  }
  context.Refuse({"outcome_unknown", "another request with this key has no recorded outcome",
                  execution_status::kUnknown});
  return filter_step::kAnswered;
}

}  // namespace

awaitable<filter_step> idempotency_filter::Apply(request_context& context) const {
  if (context.service == nullptr || context.service->repeatable) co_return filter_step::kNext;
  if (context.Header("Idempotency-Key").empty()) {
    context.Refuse({"idempotency_key_required", "this service needs an Idempotency-Key"});
    co_return filter_step::kAnswered;
  }
  control_access& control = context.core.control;
  // A claim that is won after this request has ended was never sent, so its key can be released.
  const auto release = [&control](const claim_answer& late) {
    if (late.result == claim_result::kWon) control.ReleaseClaim(late.claim);
  };
  callback_wait<claim_answer> wait(context.executor(), context.request_worker.worker_mailbox(),
                                   release);
  const time_point now = std::chrono::steady_clock::now();
  const auto left = std::chrono::ceil<milliseconds>(context.deadline - now);
  control.ClaimKey(MakeIdempotencyKey(context), std::max(left, milliseconds(0)), wait.Callback());
  const auto answer = co_await wait.WaitUntil(context.deadline + kAnswerMargin);
  if (!answer) {
    RefuseUnavailable(context, execution_status::kUnknown);
    co_return filter_step::kAnswered;
  }
  co_return ApplyClaimAnswer(context, *answer);
}

}  // namespace waxwingwing
