#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>

#include "stand_ins/engine_load.h"
#include "stand_ins/engine_member.h"
#include "stand_ins/engine_request.h"
#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `engine`: a model-serving backend server.
///
/// Keeps the records `requests`, `refusals`, `violations` (load above a limit), `peaks` (largest
/// load held at one time), `incarnations`, and those of `engine_member`. The process exits with
/// `kCrashExitCode` when it holds more KV cache tokens than its limit. Running requests are aborted
/// when the assignment changes or the fault `turn_cold` restarts the engine.
class engine final : public stand_in {
 public:
  static constexpr int kCrashExitCode = 70;

  explicit engine(asio::io_context& context);

 private:
  /// Faults in force. Each integer counts the requests that the fault still has to affect.
  struct fault_counts {
    std::uint64_t silence_streams = 0;
    std::uint64_t drop_streams = 0;
    std::uint64_t wrong_ids = 0;
    double slow_factor = 1;
    bool leaving = false;
  };

  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;

  awaitable<void> Order(http_exchange& exchange);
  awaitable<void> Cancel(http_exchange& exchange);
  awaitable<void> CacheEvents(http_exchange& exchange);
  awaitable<void> Chat(http_exchange& exchange);

  /// Returns the status with which a request is refused before it starts; 0 when it is accepted.
  unsigned RefusalStatus(const http_exchange& exchange) const;
  awaitable<void> Refuse(engine_request& request, unsigned status);
  void StartRequest(engine_request& request);
  void FinishRequest(engine_request& request);
  void CheckLimits();
  void AssignFaults(engine_request& request);

  awaitable<void> Stream(engine_request& request);
  awaitable<void> AnswerComplete(engine_request& request);
  /// Waits until the next token is due; returns false when the request ended before.
  awaitable<bool> NextToken(engine_request& request, std::uint64_t index, time_point& due);
  void RecordToken(engine_request& request, std::uint64_t index);
  /// Ends a request from outside the coroutine that serves it; `how` is the outcome that is
  /// recorded.
  void Stop(engine_request& request, const std::string& how);
  void StopAll(const std::string& how);
  /// Subtracts the load of the request from what the engine holds.
  void ReleaseLoad(engine_request& request);

  void StartIncarnation(const std::string& cause);
  json Status();
  json RequestRecord(const engine_request& request) const;
  header_list AnswerHeaders(const answer_source& source) const;
  milliseconds Uptime() const;
  /// Time since the engine was last cold: since its start or since the end of the last weight load.
  milliseconds TimeSinceCold() const;
  double MsPerToken() const;

  std::uint64_t incarnation_ = 0;
  time_point started_at_{};
  engine_member member_;
  engine_load load_;
  fault_counts faults_;
  std::set<engine_request*> running_;
  std::optional<answer_source> last_source_;
  json cache_events_ = json::array();
};

}  // namespace waxwingwing::stand_ins
