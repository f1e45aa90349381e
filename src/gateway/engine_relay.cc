#include "gateway/engine_relay.h"

#include <chrono>

#include "gateway/backend_calls.h"
#include "gateway/placer.h"

namespace waxwingwing {

awaitable<void> engine_relay::Run() {
  bool again = true;
  while (again) {
    const attempt_end end = co_await RunAttempt();
    again = co_await Continue(end);
  }
}

awaitable<attempt_end> engine_relay::RunAttempt() {
  const attempt_id id(context_.request_worker.random().HexId());
  const backend_view& view = context_.placement->view;
  engine_attempt attempt(context_, sink_, view, id, delivered_, last_token_at_);
  const attempt_end end = co_await attempt.Run();
  if (attempt.next_index() > delivered_) context_.group->ReportAnswered(view);
  delivered_ = attempt.next_index();
  byte_may_be_sent_ = byte_may_be_sent_ || end.byte_may_be_sent;
  if (end.to_cancel) CancelAttempt(context_.executor(), context_.core, view.address, id);
  co_return end;
}

awaitable<bool> engine_relay::Continue(const attempt_end& end) {
  using kind = attempt_end::kind;
  bool again = false;
  if (end.outcome == kind::kComplete) {
    // The engine has finished, so its ticket is released before a slow caller reads the rest.
    context_.ReleasePlacement();
    co_await sink_.Complete();
  } else if (end.outcome == kind::kStalled) {
    again = co_await AfterStall();
  } else if (end.outcome == kind::kFailed) {
    again = co_await AfterFailure(end.failure);
  } else if (end.outcome == kind::kTooLarge) {
    co_await Fail({"answer_too_large", "the answer exceeds the limit; stream it instead"});
  } else if (end.outcome == kind::kBufferFull) {
    const milliseconds after(1000);
    co_await Fail({"buffer_full", "there is no room to collect the answer; stream it instead",
                   execution_status::kUnknown, after});
  } else {
    Abandon();
  }
  co_return again;
}

awaitable<bool> engine_relay::AfterStall() {
  context_.ReleasePlacement();
  const bool read = co_await sink_.WaitUntilRead();
  if (!read) {
    Abandon();
    co_return false;
  }
  context_.core.metrics.CountRetry("slow_caller");
  co_return co_await PlaceAgain();
}

awaitable<bool> engine_relay::AfterFailure(attempt_failure failure) {
  if (IndicatesUnresponsiveServer(failure)) {
    const time_point now = std::chrono::steady_clock::now();
    context_.group->ReportUnanswered(context_.placement->view, now);
  }
  failed_attempt failed;
  failed.failure = failure;
  failed.delivered = delivered_;
  failed.byte_may_be_sent = byte_may_be_sent_;
  failed.retries = retries_;
  failed.max_retries = context_.core.settings.max_retries;
  const auto take_budget = [this] { return context_.core.retries.TryTake(); };
  const attempt_decision decision = DecideNextStep(failed, take_budget);
  if (decision.step == next_step::kAnswerError) {
    const refusal reason{decision.code, "the last attempt failed: " + std::string(ToText(failure)),
                         decision.execution};
    co_await Fail(reason);
    co_return false;
  }
  ++retries_;
  context_.core.metrics.CountRetry(ToText(failure));
  if (decision.step == next_step::kResumeSameServer) co_return true;
  Exclude(failure);
  context_.ReleasePlacement();
  co_return co_await PlaceAgain();
}

awaitable<bool> engine_relay::PlaceAgain() {
  const time_point now = std::chrono::steady_clock::now();
  const time_point resume_by = now + context_.core.settings.resume_deadline;
  // The caller's deadline covers the wait for the start of an answer only; a started answer gets
  // the resume deadline.
  const time_point deadline = delivered_.get() > 0 ? resume_by : context_.deadline;
  const placement_outcome outcome = co_await WaitForPlacement(context_, deadline);
  if (outcome.status == placement_status::kPlaced) co_return true;
  if (outcome.status == placement_status::kCallerGone) {
    Abandon();
    co_return false;
  }
  co_await Fail(ToRefusal(outcome));
  co_return false;
}

awaitable<void> engine_relay::Fail(refusal reason) {
  context_.ReleasePlacement();
  if (byte_may_be_sent_) reason.truth = execution_status::kUnknown;
  co_await sink_.Fail(reason);
}

void engine_relay::Abandon() {
  context_.core.metrics.CountRefusal("caller_gone");
  context_.ReleasePlacement();
  context_.answer_sent = true;
  context_.keep_alive = false;
}

void engine_relay::Exclude(attempt_failure failure) {
  const bool unreachable =
      failure == attempt_failure::kServerUnresponsive || failure == attempt_failure::kConnectFailed;
  const time_point now = std::chrono::steady_clock::now();
  context_.placement_input.Exclude(context_.placement->view, unreachable, now);
}

}  // namespace waxwingwing
