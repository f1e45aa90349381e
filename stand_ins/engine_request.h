#pragma once

#include <cstdint>
#include <string>

#include "stand_ins/asio.h"
#include "stand_ins/http_exchange.h"

namespace waxwingwing::stand_ins {

/// The ids that an answer carries and the text it is computed from.
struct answer_source {
  std::string request_id;
  std::string attempt_id;
  std::string text;
};

/// A request that an engine generates an answer for.
struct engine_request {
  /// What a fault does to the answer half way.
  enum class half_way { kNothing, kSilence, kDrop };

  explicit engine_request(http_exchange& from) : exchange(from) {}

  /// Number of the token at which half of the answer is sent.
  std::uint64_t HalfWay() const { return first_token + (max_tokens - first_token) / 2; }

  http_exchange& exchange;
  answer_source source;
  std::uint64_t first_token = 0;
  std::uint64_t max_tokens = 0;
  std::uint64_t kv_tokens = 0;
  /// Whether the engine counts the request as held.
  bool held = false;
  bool stream = false;
  half_way fault = half_way::kNothing;
  std::size_t record = 0;
  std::uint64_t tokens_sent = 0;
  /// The beginning of the answer, as far as the records keep it.
  std::string sent;
  std::int64_t last_token_at_us = 0;
  /// How it ended; empty while it runs.
  std::string ended;
};

/// Reads ids, prompt, token numbers and size from the request; throws when it is malformed.
void ParseChat(engine_request& request);

/// The event for token number `index`.
std::string ToEvent(const answer_source& source, std::uint64_t index);

}  // namespace waxwingwing::stand_ins
