#pragma once

#include <map>
#include <string>

#include "stand_ins/log_stream.h"
#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `log`: the platform's append-only log.
///
/// Additional fault: `lose_answers` (count: the append takes effect, then the connection is closed
/// without an answer).
class platform_log final : public stand_in {
 public:
  explicit platform_log(asio::io_context& context) : stand_in(context) {}

 private:
  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;
  void OnFaultsSet() override;

  awaitable<void> Append(http_exchange& exchange, const std::string& name);
  awaitable<void> Read(http_exchange& exchange, const std::string& name);
  awaitable<void> WaitForTurn();
  awaitable<void> AnswerOutage(http_exchange& exchange);

  std::map<std::string, log_stream> streams_;
  time_point next_append_{};
  std::uint64_t lose_answers_ = 0;
};

}  // namespace waxwingwing::stand_ins
