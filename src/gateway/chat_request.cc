#include "gateway/chat_request.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr std::uint64_t kDefaultMaxTokens = 16;
// Approximation for the estimate of prompt tokens.
constexpr std::uint64_t kCharactersPerToken = 4;
// JSON documents are serialised recursively, so deeper nesting could exhaust the stack.
constexpr int kMaxNesting = 64;

bool IsNestedTooDeeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string && c == '\\') ++i;
    if (c == '"') in_string = !in_string;
    if (in_string) continue;
    if (c == '[' || c == '{') ++depth;
    if (c == ']' || c == '}') --depth;
    if (depth > kMaxNesting) return true;
  }
  return false;
}

/// Concatenates the text of all messages; empty when a message is malformed.
std::optional<std::string> ExtractPrompt(const json& document) {
  const auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() || messages->empty()) {
    return std::nullopt;
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object()) return std::nullopt;
    const auto content = message.find("content");
    if (content == message.end() || !content->is_string()) return std::nullopt;
    prompt += content->get_ref<const std::string&>();
  }
  return prompt;
}

bool ReadMaxTokens(const json& document, token_count& max_tokens) {
  max_tokens = token_count(kDefaultMaxTokens);
  const auto field = document.find("max_tokens");
  if (field == document.end() || field->is_null()) return true;
  if (!field->is_number_unsigned()) return false;
  const auto number = field->get<std::uint64_t>();
  max_tokens = token_count(number);
  return max_tokens.get() > 0;
}

bool ReadStream(const json& document, bool& stream) {
  const auto field = document.find("stream");
  if (field == document.end() || field->is_null()) return true;
  if (!field->is_boolean()) return false;
  stream = field->get<bool>();
  return true;
}

}  // namespace

result<chat_request> ParseChatRequest(std::string_view body, byte_count affinity_prefix) {
  using failed = result<chat_request>;
  if (IsNestedTooDeeply(body)) return failed::Failure("the body is nested too deeply");
  json document = json::parse(body, nullptr, false);
  if (!document.is_object()) return failed::Failure("the body must be a JSON object");
  chat_request request;
  const auto model = document.find("model");
  if (model == document.end() || !model->is_string()) {
    return failed::Failure("$.model must be a string");
  }
  request.model = model->get<std::string>();
  const auto prompt = ExtractPrompt(document);
  if (!prompt) return failed::Failure("$.messages must be a list of objects with text content");
  if (!ReadMaxTokens(document, request.max_tokens)) {
    return failed::Failure("$.max_tokens must be a positive integer");
  }
  if (!ReadStream(document, request.stream)) return failed::Failure("$.stream must be a boolean");
  request.kv_cost = token_count(prompt->size() / kCharactersPerToken) + request.max_tokens;
  const std::string_view whole = *prompt;
  request.prefix_hash = StableHash(whole.substr(0, affinity_prefix.get()));
  document["stream"] = true;
  document["max_tokens"] = request.max_tokens.get();
  request.engine_body = document.dump();
  return request;
}

}  // namespace waxwingwing
