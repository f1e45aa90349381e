#pragma once

#include "gateway/backend_connection.h"
#include "gateway/request_context.h"
#include "waxwingwing/streaming/attempt_policy.h"

namespace waxwingwing {

/// Forwards one call to a plain service and buffers its complete answer.
class service_relay {
 public:
  explicit service_relay(request_context& context) : context_(context) {}

  /// Sets the answer of the context. The context must have a placement.
  awaitable<void> Run();

 private:
  struct call_end {
    bool complete = false;
    attempt_failure failure = attempt_failure::kConnectFailed;
  };

  awaitable<call_end> RunAttempt();
  awaitable<call_end> Exchange(backend_connection& connection);
  /// Whether a response that ended with its connection, without a length or chunks, may be taken as
  /// whole: a killed server closes its connections, too.
  awaitable<bool> IsWholeAtConnectionEnd(const http::fields& response, const backend_view& view);
  /// `sent` is true when this attempt may have sent a byte.
  awaitable<call_end> Failed(error_code error, const backend_view& view, bool sent);
  void TakeAnswer(http::response<http::string_body>& response);
  void RecordOutcome();
  /// Returns true when another attempt follows; `context_.placement` is then set.
  awaitable<bool> AfterFailure(attempt_failure failure);
  void Fail(refusal reason);
  bool MayInterrupt() const { return context_.service->repeatable; }

  request_context& context_;
  std::uint32_t retries_ = 0;
  bool byte_may_be_sent_ = false;
};

}  // namespace waxwingwing
