#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A chat completion as callers send it.
struct chat_request {
  std::string model;
  bool stream = false;
  token_count max_tokens;
  /// Estimate of the KV cache that the request needs: prompt and answer.
  token_count kv_cost;
  std::uint64_t prefix_hash = 0;
  /// The same request for an engine, which always streams.
  std::string engine_body;
};

/// Most tokens that one answer may have.
inline constexpr token_count kMaxAnswerTokens{32768};

/// Parses the body of a chat completion; the reason names the field at fault.
/// `max_tokens` above the maximum is kept, so that the caller can refuse it with a code of its own.
result<chat_request> ParseChatRequest(std::string_view body, byte_count affinity_prefix);

}  // namespace waxwingwing
