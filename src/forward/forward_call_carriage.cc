// The part of `forward_call` that sends a request on to another VM.
#include <algorithm>
#include <utility>

#include "forward/forward_call.h"
#include "forward/http_text.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing {
namespace {

/// Number of other VMs that are asked to take one request over.
constexpr std::size_t kMaxCarriers = 3;
/// Time after the loss of the paths in which the carriers become known: three reports or feeds.
constexpr milliseconds kCarrierWait{800};
/// How long a carrier that cannot be reached, or that takes no request, is left out.
constexpr milliseconds kUnreachableSuspension{1000};
constexpr milliseconds kRefusalSuspension{200};
/// Reason of the refusal of a request that no other VM takes.
constexpr std::string_view kPathsLost = "paths_lost";

}  // namespace

awaitable<bool> forward_call::Carry() {
  is_at_carrier_ = true;
  // The other VMs tell of themselves soon after this one has told that it is cut off.
  const time_point told_by = core_.paths.lost_at() + kCarrierWait;
  while (MustBeCarried() && core_.carriers.IsEmpty(core_.Now()) && !caller_left_ &&
         !channel_.gone() && core_.Now() < std::min(told_by, deadline_)) {
    co_await WaitForCapacity();
  }
  if (!MustBeCarried()) co_return false;
  const bool is_wanted = !caller_left_ && !channel_.gone() && core_.Now() < deadline_;
  const carrier_vm* selected = is_wanted && tried_carriers_.size() < kMaxCarriers
                                   ? core_.carriers.Select(tried_carriers_, core_.Now())
                                   : nullptr;
  if (selected == nullptr) {
    FailUncarried();
    co_return true;
  }
  const vm_id carrier = selected->vm;
  tried_carriers_.insert(carrier);
  core_.carriers.RecordSent(carrier);
  const scope_guard ended([&] { core_.carriers.RecordEnded(carrier); });
  exchange_ = std::make_unique<server_exchange>(core_, PlanCarriage(*selected), *this);
  server_ = exchange_->target();
  const exchange_outcome end = co_await exchange_->Run();
  const bool is_done = EvaluateCarriage(*exchange_, end, carrier);
  exchange_.reset();
  co_return is_done;
}

exchange_plan forward_call::PlanCarriage(const carrier_vm& carrier) {
  exchange_plan plan;
  plan.target.server = backend_server_id(carrier.vm.str());
  plan.target.address = carrier.address;
  plan.target.failure_domain = carrier.failure_domain;
  plan.is_carried = true;
  plan.id = request_metadata_.id;
  plan.head_only = request_.method == "HEAD";
  plan.stream = route_->repeat == repeat_rule::kStream;
  plan.at_most_once = !route_->MayRepeat();
  plan.last_event = last_event_;
  plan.more_follow = more_follow_;
  plan.deadline = deadline_;
  plan.objective = route_->objective;
  http_fields fields = request_.fields;
  RemoveConnectionFields(fields);
  core_.codec.WriteResumption(fields, last_event_);
  const auto age = std::chrono::ceil<milliseconds>(core_.Now() - arrived_at_);
  WriteCarriage(fields, {configuration_->version, possible_runs_, age});
  plan.head = WriteRequestHead(request_.method, request_.target, fields, request_.body.size());
  plan.body = request_.body;
  return plan;
}

bool forward_call::EvaluateCarriage(server_exchange& exchange, exchange_outcome end,
                                    const vm_id& carrier) {
  last_failure_ = exchange.failure();
  RecordProgress(exchange);
  const exchange_abort reason = exchange.abort_reason();
  const bool is_own_end =
      reason == exchange_abort::kCallerLeft || reason == exchange_abort::kDeadline;
  if (end != exchange_outcome::kComplete && !is_own_end) {
    core_.carriers.Suspend(carrier, core_.Now() + kUnreachableSuspension);
  }
  if (end == exchange_outcome::kNotSent) return false;
  server_response& response = exchange.response();
  if (end == exchange_outcome::kComplete && response.carried.refusal) {
    return HandleCarrierRefusal(response, carrier);
  }
  ++possible_runs_;
  if (end != exchange_outcome::kComplete) return HandleBrokenExchange(reason);
  if (exchange.passes_events()) {
    channel_.Send(StartStream(response));
    EndStream();
  } else if (head_sent_) {
    AbortResponse("server_error");
  } else {
    ForwardResponse(response);
  }
  return true;
}

bool forward_call::HandleCarrierRefusal(const server_response& response, const vm_id& carrier) {
  const carrier_refusal& refusal = *response.carried.refusal;
  last_failure_ = "the carrier refused: " + refusal.reason;
  const bool has_not_run = response.status == 503;
  if (has_not_run && refusal.is_of_carrier) {
    core_.carriers.Suspend(carrier, core_.Now() + kRefusalSuspension);
    return false;
  }
  if (!has_not_run && response.status >= 500) ++possible_runs_;
  if (head_sent_) {
    AbortResponse(refusal.reason);
  } else if (has_not_run && possible_runs_ > 0) {
    Refuse({502, refusal.reason, std::nullopt});
  } else {
    Refuse({response.status, refusal.reason, response.metadata.notice.rest});
  }
  return true;
}

void forward_call::FailUncarried() {
  if (caller_left_ || channel_.gone()) {
    LogEnd("caller_left", 0, last_failure_);
    keeps_connection_ = false;
  } else if (core_.Now() >= deadline_) {
    FailRequest(504, "deadline");
  } else {
    FailRequest(502, kPathsLost);
  }
}

}  // namespace waxwingwing
