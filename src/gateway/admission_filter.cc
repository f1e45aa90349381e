#include "gateway/admission_filter.h"

#include "gateway/placer.h"

namespace waxwingwing {

awaitable<filter_step> admission_filter::Apply(request_context& context) const {
  const placement_outcome outcome = co_await WaitForPlacement(context, context.deadline);
  if (outcome.status == placement_status::kPlaced) co_return filter_step::kNext;
  if (outcome.status == placement_status::kCallerGone) {
    context.core.metrics.CountRefusal("caller_gone");
    context.answer_sent = true;
    context.keep_alive = false;
    co_return filter_step::kAnswered;
  }
  if (outcome.status == placement_status::kSuspended) {
    context.dispatch_suspended = true;
    co_return filter_step::kNext;
  }
  context.Refuse(ToRefusal(outcome));
  co_return filter_step::kAnswered;
}

}  // namespace waxwingwing
