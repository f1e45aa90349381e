#include "gateway/request_context.h"

#include <chrono>

namespace waxwingwing {

request_context::request_context(gateway_core& shared, worker& thread,
                                 std::shared_ptr<caller_connection> caller_side)
    : core(shared),
      request_worker(thread),
      caller(std::move(caller_side)),
      id(thread.random().HexId()),
      arrived(std::chrono::steady_clock::now()) {}

refusal request_context::AdjustAndCount(refusal reason) {
  if (earlier_call_may_have_run) reason.truth = execution_status::kUnknown;
  if (reason.retry_after.count() > 0) {
    // Jitter of half to one and a half times the value, so that refused callers do not retry at the
    // same time.
    const double factor = 0.5 + request_worker.random().Fraction();
    const double jittered = static_cast<double>(reason.retry_after.count()) * factor;
    reason.retry_after = milliseconds(static_cast<milliseconds::rep>(jittered) + 1);
  }
  core.metrics.CountRefusal(reason.code);
  return reason;
}

void request_context::Refuse(const refusal& reason) { answer = ToAnswer(AdjustAndCount(reason)); }

std::string_view request_context::Header(std::string_view name) const { return parser.get()[name]; }

void request_context::ReleasePlacement() {
  if (placement == nullptr) return;
  placement.reset();
  group->queue().Dispatch(std::chrono::steady_clock::now());
}

}  // namespace waxwingwing
