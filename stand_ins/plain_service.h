#pragma once

#include <string>

#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `plain_service`: runs calls that may have an idempotency key and records each
/// run.
///
/// The answer echoes method, path and body, so that a caller can tell whether the answer belongs to
/// its call. Additional fault: `drop_answers` (count: the call runs, then the connection is closed
/// without an answer).
class plain_service final : public stand_in {
 public:
  explicit plain_service(asio::io_context& context);

 private:
  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;
  awaitable<void> Run(http_exchange& exchange);
  std::size_t RecordCall(const http_exchange& exchange);
  std::int64_t UptimeMs() const;

  std::uint64_t incarnation_;
  time_point started_at_;
  std::uint64_t running_ = 0;
  std::uint64_t drop_answers_ = 0;
};

}  // namespace waxwingwing::stand_ins
