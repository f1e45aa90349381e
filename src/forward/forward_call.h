#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "forward/caller_channel.h"
#include "forward/forward_core.h"
#include "forward/server_exchange.h"
#include "waxwingwing/forward/call_refusal.h"

namespace waxwingwing {

/// A request as the caller sent it.
struct caller_request {
  std::string method;
  std::string target;
  http_fields fields;
  std::string body;
  bool keep_alive = true;
};

/// One request of a caller, from its filters to the last byte of its answer.
///
/// What may be repeated follows from the route. A request that may run once goes to another server
/// only while it is certain that none has run it; an answer that says "not run" is sent under the
/// same condition.
class forward_call final : public event_receiver {
 public:
  forward_call(forward_core& core, caller_channel& channel, caller_request request);
  ~forward_call() override;

  awaitable<void> Run();

  /// Whether the caller's connection can take another request.
  bool keeps_connection() const { return keeps_connection_; }

  void OnEvents(const server_answer& answer, std::string_view events) override;
  awaitable<bool> WaitForCaller() override;
  bool CanMove() override;

 private:
  using filter = std::optional<call_refusal> (forward_call::*)();
  static const std::array<filter, 6> kFilters;

  std::optional<call_refusal> RequireConfiguration();
  std::optional<call_refusal> ReadHeaders();
  std::optional<call_refusal> FindRoute();
  std::optional<call_refusal> Identify();
  std::optional<call_refusal> ChooseService();
  std::optional<call_refusal> CheckTime();

  awaitable<void> Forward();
  const dispatch_candidate* SelectServer();
  /// Whether it is worth waiting for a place at a server.
  bool MayWait() const;
  /// Ends a request for which no server was selected.
  void EndUnselected();
  exchange_plan PlanExchange(const dispatch_candidate& server) const;
  /// What follows an exchange; false when another server is to be tried.
  bool Conclude(server_exchange& exchange, exchange_end end);
  bool ConcludeAnswer(server_exchange& exchange);
  bool ConcludeNotExecuted(const server_answer& answer, const dispatch_candidate& server);
  bool ConcludeBroken(exchange_cut cut);
  /// Whether another server could take the request; takes a retry from the budget.
  bool CanMoveNow();
  /// Whether the request may be sent once more.
  bool MayTryAgain(bool may_have_run) const;
  void PassAnswer(server_answer& answer);
  void EndStream();
  void Refuse(const call_refusal& refusal);
  /// Ends a request that no server can answer: with "not run" while that is certain, with `status`
  /// when it may have run, and by breaking off an answer that has begun.
  void GiveUp(unsigned status, std::string_view reason);
  /// Ends the answer in a way that the caller cannot take for complete.
  void BreakOff(std::string_view reason);
  void LogEnd(std::string_view outcome, unsigned status, std::string_view reason);
  milliseconds TimeLeft(time_point now) const;
  milliseconds RetryDelay() const;
  bool Closes() const;

  forward_core& core_;
  caller_channel& channel_;
  caller_request request_;
  const time_point arrived_at_;
  time_point deadline_{};
  call_facts facts_;
  std::shared_ptr<const traffic_configuration> configuration_;
  const traffic_route* route_ = nullptr;
  const caller_organisation* organisation_ = nullptr;
  service_id service_;

  server_exchange* exchange_ = nullptr;
  dispatch_candidate server_;
  std::set<backend_server_id> tried_;
  selection_failure selection_failure_ = selection_failure::kNone;
  std::size_t sends_ = 0;
  /// Servers at which the request may have run.
  std::size_t runs_ = 0;
  std::optional<std::uint64_t> last_event_;
  std::optional<duration> first_event_after_;
  bool head_sent_ = false;
  bool caller_left_ = false;
  bool keeps_connection_ = true;
  std::string last_failure_;
};

}  // namespace waxwingwing
