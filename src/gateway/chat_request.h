#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A parsed chat completion request.
struct chat_request {
  std::string model;
  bool stream = false;
  token_count max_tokens;
  /// Estimated KV cache use: tokens of prompt and answer.
  token_count kv_cost;
  /// Hash of the first bytes of the prompt, for prompt cache affinity.
  std::uint64_t prefix_hash = 0;
  /// Request body for the engine, with `stream` set and `max_tokens` filled in.
  std::string engine_body;
};

/// Limit of `max_tokens` of one request.
inline constexpr token_count kMaxAnswerTokens{32768};

/// Parses the body of a chat completion; the error names the invalid field.
/// `max_tokens` above `kMaxAnswerTokens` is not an error here, so that the request can be refused
/// with a separate code.
result<chat_request> ParseChatRequest(std::string_view body, byte_count affinity_prefix);

}  // namespace waxwingwing
