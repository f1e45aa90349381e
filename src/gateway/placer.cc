#include "gateway/placer.h"

#include <algorithm>
#include <chrono>

#include "gateway/async_event.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing {
namespace {

// Limits the rate of unmet demand reports of one group; credits are granted no faster than this.
constexpr milliseconds kReportInterval{50};
constexpr milliseconds kRetryAfterQueue{500};

/// Shared with the waiter in the queue, which may be placed by another thread.
struct wait_state {
  explicit wait_state(const asio::any_io_executor& executor) : event(executor) {}

  async_event event;
  std::unique_ptr<backend_placement> placement;
  bool suspended = false;
};

std::function<bool()> MakeTryPlace(const request_context& context,
                                   const std::shared_ptr<wait_state>& state) {
  // The queue's lock orders writes of `state`; the posted notification orders its reads.
  return
      [state, group = context.group.get(), worker_mailbox = context.request_worker.worker_mailbox(),
       input = context.placement_input] {
        const time_point now = std::chrono::steady_clock::now();
        const auto placement_result = group->TryPlace(input, state->placement, now);
        if (placement_result == dispatch_group::placement_result::kAllAtLimit) return false;
        state->suspended = placement_result == dispatch_group::placement_result::kSuspended;
        worker_mailbox->Post([weak = std::weak_ptr<wait_state>(state)] {
          const auto held = weak.lock();
          if (held != nullptr) held->event.Notify();
        });
        return true;
      };
}

placement_outcome TakeResult(request_context& context, wait_state& state) {
  if (state.suspended) return {placement_status::kSuspended, kRetryAfterQueue};
  context.placement = std::move(state.placement);
  return {};
}

void ReportUnmetDemand(request_context& context, time_point now) {
  if (context.model_group == nullptr) return;
  if (!context.group->TryAcquireReportSlot(now, kReportInterval)) return;
  context.core.control.ReportUnmetDemand(context.model_group->id);
}

placement_outcome Expired(request_context& context) {
  const auto snapshot = context.request_worker.Snapshot();
  const bool routable = dispatch_group::HasRoutable(context.group->Backends(*snapshot));
  const auto status =
      routable ? placement_status::kDeadlineExceeded : placement_status::kNoCapacity;
  return {status, kRetryAfterQueue};
}

}  // namespace

awaitable<placement_outcome> WaitForPlacement(request_context& context, time_point deadline) {
  using verdict = admission_queue::verdict;
  const auto state = std::make_shared<wait_state>(context.executor());
  const time_point now = std::chrono::steady_clock::now();
  admission_queue& queue = context.group->queue();
  // A plain service call uses no KV tokens; a cost of 1 gives it its turn in the queue.
  const token_count cost = std::max(context.placement_input.kv_cost, token_count(1));
  const admission_queue::waiter waiter{context.organisation, cost, deadline,
                                       MakeTryPlace(context, state)};
  const auto admission = queue.Admit(waiter, now);
  if (admission.result == verdict::kDispatched) co_return TakeResult(context, *state);
  ReportUnmetDemand(context, now);
  if (admission.result == verdict::kQueueFull) {
    co_return placement_outcome{placement_status::kQueueFull, admission.retry_after};
  }
  if (admission.result == verdict::kDeadlineTooShort) {
    co_return placement_outcome{placement_status::kDeadlineTooShort, admission.retry_after};
  }
  scope_guard withdraw([&queue, id = admission.id] { queue.Remove(id); });
  context.caller->SetInterrupt([&state] { state->event.Notify(); });
  if (!context.caller->gone()) co_await state->event.WaitUntil(deadline);
  context.caller->SetInterrupt(nullptr);
  withdraw.Dismiss();
  const bool placed = !queue.Remove(admission.id);
  if (placed) co_return TakeResult(context, *state);
  if (context.caller->gone()) co_return placement_outcome{placement_status::kCallerGone};
  co_return Expired(context);
}

refusal ToRefusal(const placement_outcome& outcome) {
  const milliseconds after = outcome.retry_after;
  const execution_status truth = execution_status::kNotRun;
  switch (outcome.status) {
    case placement_status::kQueueFull:
      return {"queue_full", "the organisation's queue is full", truth, after};
    case placement_status::kDeadlineTooShort:
      return {"deadline_too_short", "the estimated wait exceeds the deadline", truth, after};
    case placement_status::kSuspended:
      return {"control_state_stale", "this entry VM is catching up", truth, after};
    case placement_status::kNoCapacity:
      return {"no_capacity", "no backend server is available", truth, after};
    default:
      return {"deadline_exceeded", "no room became free before the deadline", truth, after};
  }
}

}  // namespace waxwingwing
