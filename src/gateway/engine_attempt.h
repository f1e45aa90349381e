#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/answer_sink.h"
#include "gateway/backend_connection.h"
#include "gateway/request_context.h"
#include "waxwingwing/streaming/attempt_policy.h"
#include "waxwingwing/streaming/engine_stream.h"

namespace waxwingwing {

/// Result of one attempt.
struct attempt_end {
  enum class kind { kComplete, kFailed, kStalled, kCallerGone, kTooLarge, kBufferFull };

  kind outcome = kind::kComplete;
  /// Set for `kFailed`.
  attempt_failure failure = attempt_failure::kConnectFailed;
  /// The engine may have received a part of the request.
  bool byte_may_be_sent = false;
  /// The engine may still work on the attempt, so it must be cancelled.
  bool to_cancel = false;
};

/// One attempt to read the rest of an answer from an engine, over a connection of its own.
class engine_attempt {
 public:
  /// `first_index` is the number of tokens that the sink already has.
  engine_attempt(request_context& context, answer_sink& sink, const backend_view& view,
                 attempt_id id, token_count first_index, time_point& last_token_at);

  awaitable<attempt_end> Run();
  /// Index of the next token that the sink needs.
  token_count next_index() const { return stream_.next_index() - unaccepted_tokens_; }

 private:
  using header_parser = http::response_parser<http::buffer_body>;

  awaitable<attempt_end> Exchange();
  awaitable<error_code> SendRequest();
  awaitable<attempt_end> ReadEvents(header_parser& parser);
  /// Empty while the attempt continues.
  awaitable<std::optional<attempt_end>> TakeEvents(std::vector<server_event>& events);
  std::optional<attempt_end> CheckResponse(const http::response_header<>& header);
  awaitable<attempt_end> HandleConnectionError(error_code error);
  awaitable<attempt_end> HandleReadTimeout();
  attempt_end Failed(attempt_failure failure) const;
  attempt_end Ended(attempt_end::kind outcome) const;
  void ObserveToken();

  request_context& context_;
  answer_sink& sink_;
  const backend_view& view_;
  attempt_id id_;
  time_point& last_token_at_;
  backend_connection connection_;
  engine_stream stream_;
  event_parser events_;
  /// 1 when the sink did not accept the newest token, else 0.
  token_count unaccepted_tokens_;
  bool sent_ = false;
  bool header_read_ = false;
  bool token_read_ = false;
};

}  // namespace waxwingwing
