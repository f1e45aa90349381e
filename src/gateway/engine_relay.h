#pragma once

#include "gateway/answer_sink.h"
#include "gateway/engine_attempt.h"
#include "gateway/request_context.h"

namespace waxwingwing {

/// Reads one answer from engines, in as many attempts as the retry policy allows, and passes it to
/// a sink.
class engine_relay {
 public:
  engine_relay(request_context& context, answer_sink& sink) : context_(context), sink_(sink) {}

  /// Returns when the answer is complete or has failed. The context must have a placement.
  awaitable<void> Run();

 private:
  awaitable<attempt_end> RunAttempt();
  // The next four functions return true when another attempt follows.
  awaitable<bool> Continue(const attempt_end& end);
  awaitable<bool> AfterStall();
  awaitable<bool> AfterFailure(attempt_failure failure);
  awaitable<bool> PlaceAgain();
  awaitable<void> Fail(refusal reason);
  void Abandon();
  void Exclude(attempt_failure failure);

  request_context& context_;
  answer_sink& sink_;
  token_count delivered_;
  std::uint32_t retries_ = 0;
  bool byte_may_be_sent_ = false;
  time_point last_token_at_{};
};

}  // namespace waxwingwing
