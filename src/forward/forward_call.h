#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "forward/call_cost.h"
#include "forward/caller_channel.h"
#include "forward/carriage.h"
#include "forward/forward_core.h"
#include "forward/group_room.h"
#include "forward/server_exchange.h"
#include "waxwingwing/forward/call_refusal.h"
#include "waxwingwing/platform/wakeable_pause.h"

namespace waxwingwing {

/// An HTTP request as received from the caller.
struct caller_request {
  std::string method;
  std::string target;
  http_fields fields;
  std::string body;
  bool keep_alive = true;
  /// Present when another VM has sent the request on, which must not happen twice.
  std::optional<carriage> carried;
};

/// Processes one request of a caller, from validation to the last byte of the response.
///
/// The route decides which requests may be retried. A request that must run at most once is sent to
/// another server only while it is certain that no server has run it; a response that says "not
/// run" is sent under the same condition.
///
/// While a server makes no progress, the request is sent to a second one as well, and the first to
/// go on answers it: a server may be silent for a while and yet be sound.
class forward_call final : public exchange_receiver {
 public:
  forward_call(forward_core& core, caller_channel& channel, caller_request request);
  ~forward_call() override;

  awaitable<void> Run();

  /// Whether the caller's connection can be used for another request.
  bool keeps_connection() const { return keeps_connection_; }

  void OnEvents(const server_exchange& exchange, std::string_view events) override;
  bool IsCallerConnected() override { return channel_.CheckConnected(); }
  awaitable<bool> WaitForCaller() override;
  void OnNoProgress(const server_exchange& exchange, exchange_abort reason) override;

 private:
  using filter = std::optional<call_refusal> (forward_call::*)();
  static const std::array<filter, 7> kFilters;

  std::optional<call_refusal> RequireConfiguration();
  std::optional<call_refusal> ReadHeaders();
  std::optional<call_refusal> FindRoute();
  std::optional<call_refusal> Identify();
  std::optional<call_refusal> ChooseService();
  std::optional<call_refusal> CheckTime();
  std::optional<call_refusal> CheckPrompt();

  awaitable<void> Forward();
  /// Whether the request must go through another VM, because this one has lost its paths.
  bool MustBeCarried() const { return core_.paths.IsLost() && !request_.carried; }
  /// Sends the request on to another VM; returns false when another way has to be found.
  awaitable<bool> Carry();
  exchange_plan PlanCarriage(const carrier_vm& carrier);
  /// Evaluates a finished exchange with a carrier; like `EvaluateExchange`.
  bool EvaluateCarriage(server_exchange& exchange, exchange_outcome end, const vm_id& carrier);
  bool HandleCarrierRefusal(const server_response& response, const vm_id& carrier);
  /// Ends a request that no other VM takes.
  void FailUncarried();
  const dispatch_candidate* SelectServer();
  /// Selects a server, and waits for capacity if need be. Returns null when the request must end.
  awaitable<const dispatch_candidate*> FindServer();
  /// The queue in which the request waits for a place; null when it does not wait in order.
  capacity_queue* FindQueue() const;
  /// Waits in the queue until the request is the next one and a server has a place for it.
  awaitable<const dispatch_candidate*> SelectInTurn(capacity_queue& queue);
  /// Does what the queue decides for the request; sets `lacks_place_` when it refuses it.
  const dispatch_candidate* SelectAsDecided(capacity_queue::ticket& ticket, capacity_queue& queue);
  bool MayStayInQueue(const capacity_queue::ticket& ticket) const;
  void RecordLineLength(const capacity_queue& queue) const;
  void RecordNoPlace(const capacity_queue::ticket& ticket, const group_room& room) const;
  void RecordPlaceFound(std::optional<time_point> promised) const;
  /// How long the caller waits for the first event.
  milliseconds CallerPatience() const;
  /// The urgency that the server is told.
  std::uint32_t Urgency() const;
  /// What the queue has to know about the request.
  waiting_request DescribeWaiting() const;
  /// The urgency of the request; 0 is the most urgent.
  std::uint32_t Priority() const;
  /// Releases the place that the current exchange had.
  void RecordPlaceFreed() const;
  /// Waits until capacity may have become free.
  awaitable<void> WaitForCapacity();
  /// Whether the request can still be sent to a server.
  bool CanStillBeSent() const;
  /// Whether the request may wait for a server that can take it.
  bool MayWaitForCapacity() const;
  /// When a server that wants no requests for a time can take this one at the earliest.
  time_point EndOfRest() const;
  /// Ends a request for which no server could be selected.
  void FailUnselected();
  exchange_plan PlanExchange(const dispatch_candidate& server);
  /// Creates the exchange with a selected server, which is not selected for this request again.
  std::unique_ptr<server_exchange> MakeExchange(const dispatch_candidate& server);
  void AbortExchanges(exchange_abort reason);
  /// Records how far an exchange has come, for the one that goes on after it.
  void RecordProgress(const server_exchange& exchange);

  /// Whether the request may be sent to a second server while the first may still answer; if so,
  /// consumes a retry from the budget.
  bool TryReserveStandby();
  awaitable<void> RunStandby();
  /// Whether a finished exchange answers the request, so that no other server need be asked.
  bool IsAnswer(const server_exchange& exchange, exchange_outcome outcome) const;
  /// Ends the exchange that made no progress, because the standby has gone on in its place.
  void TakeOver();
  /// Records a standby that ended without taking over.
  void DiscardStandby();
  /// After the end of the current exchange: waits for the end of the standby, makes it the current
  /// exchange when it has taken over, and returns the outcome of the current exchange.
  awaitable<exchange_outcome> JoinStandby(exchange_outcome current);

  /// Records what the end of an exchange says about the parts of the prompt.
  awaitable<void> RecordPromptOutcome(const server_exchange& exchange, exchange_outcome outcome);
  void RecordSoundPrompt();
  /// When the request may be sent, if its prompt is quarantined.
  std::optional<time_point> QuarantinedUntil() const;

  /// Evaluates a finished exchange; returns false when the request is to be sent to another server.
  bool EvaluateExchange(server_exchange& exchange, exchange_outcome end);
  bool EvaluateResponse(server_exchange& exchange);
  /// Records a server's statement that it has not run the request; returns the reason.
  const char* RecordNotExecuted(const server_exchange& exchange);
  bool HandleNotExecuted(const server_exchange& exchange);
  bool HandleBrokenExchange(exchange_abort abort_reason);
  /// Whether another server can take the request now; if so, consumes a retry from the budget.
  bool TryReserveRetry();
  /// Whether a request that may have run may be sent again; if so, consumes a retry from the
  /// budget.
  bool TryReserveResend();
  /// Whether the limits on sends and attempts allow the request to be sent again.
  bool MayResend(bool may_have_run) const;
  /// Returns the head of the response to the caller, or nothing when it was sent before.
  std::string StartStream(const server_response& response);
  void ForwardResponse(server_response& response);
  /// Reports that a server has begun to run the request.
  void ReportBegun();
  void EndStream();
  void Refuse(const call_refusal& refusal);
  /// Fails a request that no server can answer: with "not run" while that is certain, with `status`
  /// when it may have run, and by aborting the response when that has already started.
  void FailRequest(unsigned status, std::string_view reason);
  /// Ends the response so that the caller cannot mistake it for a complete one.
  void AbortResponse(std::string_view reason);
  void LogEnd(std::string_view outcome, unsigned status, std::string_view reason);
  milliseconds TimeLeft(time_point now) const;
  milliseconds RetryDelay() const;
  /// Delay after which a request that no server could take is repeated best; nothing when the
  /// caller could not wait for it.
  std::optional<milliseconds> DelayUntilCapacity() const;
  bool Closes() const;

  forward_core& core_;
  caller_channel& channel_;
  caller_request request_;
  const time_point arrived_at_;
  time_point deadline_{};
  request_metadata request_metadata_;
  std::shared_ptr<const traffic_configuration> configuration_;
  const traffic_route* route_ = nullptr;
  const caller_organisation* organisation_ = nullptr;
  service_id service_;
  call_cost cost_;

  std::unique_ptr<server_exchange> exchange_;
  /// Exchange with a second server, started because the current one makes no progress.
  std::unique_ptr<server_exchange> standby_;
  exchange_abort standby_reason_ = exchange_abort::kNone;
  std::optional<exchange_outcome> standby_outcome_;
  bool standby_took_over_ = false;
  /// Whether the current exchange has ended, so that the outcome of the standby is awaited.
  bool awaits_standby_ = false;
  wakeable_pause standby_ended_;
  wakeable_pause capacity_freed_;
  dispatch_candidate server_;
  std::set<backend_server_id> tried_;
  std::set<vm_id> tried_carriers_;
  /// Whether the current exchange is with a carrier, which counts the request itself.
  bool is_at_carrier_ = false;
  selection_failure selection_failure_ = selection_failure::kNone;
  std::size_t sends_ = 0;
  /// Number of sends after which the request may have run on a server.
  std::size_t possible_runs_ = 0;
  std::optional<std::uint64_t> last_event_;
  /// Whether a run broke off within the event that follows `last_event_`.
  bool more_follow_ = false;
  std::optional<duration> first_event_after_;
  /// When the response to the caller was last interrupted.
  time_point broke_off_at_{};
  /// Whether a server has gone on after it had begun to answer.
  bool prompt_is_sound_ = false;
  bool head_sent_ = false;
  /// Whether the request queues at its server because no place becomes free in time.
  bool queues_late_ = false;
  /// Whether the request was refused because no place becomes free while that is of use.
  bool lacks_place_ = false;
  /// Whether the queue last decided that the request waits for its turn.
  bool awaits_turn_ = false;
  bool caller_left_ = false;
  bool keeps_connection_ = true;
  std::string last_failure_;
};

}  // namespace waxwingwing
