#pragma once

#include <cstdint>
#include <string>

#include "stand_ins/asio.h"
#include "stand_ins/http_exchange.h"

namespace waxwingwing::stand_ins {

/// The ids that an answer carries and the prompt text from which its tokens are computed.
struct answer_source {
  std::string request_id;
  std::string attempt_id;
  std::string text;
};

/// A request for which the engine generates an answer.
struct engine_request {
  /// Fault that takes effect in the middle of the answer.
  enum class mid_stream_fault { kNothing, kSilence, kDrop };

  explicit engine_request(http_exchange& from) : exchange(from) {}

  /// Index of the token before which half of the answer is sent.
  std::uint64_t MiddleToken() const { return first_token + (max_tokens - first_token) / 2; }

  http_exchange& exchange;
  answer_source source;
  /// Index of the first token to send; above 0 when a stream is resumed.
  std::uint64_t first_token = 0;
  std::uint64_t max_tokens = 0;
  std::uint64_t kv_tokens = 0;
  /// Whether the request counts towards the engine's load.
  bool held = false;
  bool stream = false;
  mid_stream_fault fault = mid_stream_fault::kNothing;
  std::size_t record = 0;
  std::uint64_t tokens_sent = 0;
  /// First bytes of the answer, up to the limit that the records keep.
  std::string sent;
  std::int64_t last_token_at_us = 0;
  /// Outcome of the request; empty while it runs.
  std::string ended;
};

/// Sets the ids, prompt, token indexes and load of the request from its headers and body; throws
/// when they are malformed.
void ParseChat(engine_request& request);

/// Formats the server-sent event for token number `index`.
std::string ToEvent(const answer_source& source, std::uint64_t index);

}  // namespace waxwingwing::stand_ins
