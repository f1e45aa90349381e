#include "stand_ins/engine_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "stand_ins/answer_tokens.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr std::uint64_t kDefaultMaxTokens = 16;
constexpr std::uint64_t kCharactersPerToken = 4;

}  // namespace

void ParseChat(engine_request& request) {
  const json body = request.exchange.Body();
  const json& messages = body.at("messages");
  if (messages.empty()) throw std::invalid_argument("no messages");
  std::uint64_t characters = 0;
  for (const json& message : messages) {
    characters += message.at("content").get_ref<const std::string&>().size();
  }
  const std::string offset = request.exchange.Header("X-Resume-Offset");
  request.source.request_id = request.exchange.Header("X-Request-Id");
  request.source.attempt_id = request.exchange.Header("X-Attempt-Id");
  request.source.text = messages.back().at("content").get<std::string>();
  request.max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  request.first_token =
      offset.empty() ? 0 : std::min<std::uint64_t>(std::stoull(offset), request.max_tokens);
  request.kv_tokens = characters / kCharactersPerToken + request.max_tokens;
  request.stream = body.value("stream", false);
}

std::string ToEvent(const answer_source& source, std::uint64_t index) {
  return fmt::format(
      R"(data: {{"id":{},"attempt":{},"index":{},"choices":[{{"index":0,"delta":{{"content":"{}"}},"finish_reason":null}}]}})"
      "\n\n",
      json(source.request_id).dump(), json(source.attempt_id).dump(), index,
      AnswerToken(source.text, index));
}

}  // namespace waxwingwing::stand_ins
