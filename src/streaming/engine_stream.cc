#include "waxwingwing/streaming/engine_stream.h"

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace waxwingwing {
namespace {

using nlohmann::json;

// Indexed by `drop_reason`.
constexpr std::array<std::string_view, 9> kReasonNames = {
    "none",      "foreign_request", "foreign_attempt", "repeated_index",  "gap",
    "malformed", "after_end",       "engine_error",    "event_too_large",
};

/// Fields of the JSON document of one token event.
struct token_event {
  std::string request;
  std::string attempt;
  std::uint64_t index = 0;
  std::string content;
  std::string finish_reason;
};

bool ReadText(const json& object, const char* name, std::string& text) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_string()) return false;
  text = field->get<std::string>();
  return true;
}

bool ReadChoice(const json& document, token_event& event) {
  const auto choices = document.find("choices");
  if (choices == document.end() || !choices->is_array() || choices->empty()) return false;
  const json& choice = choices->front();
  if (!choice.is_object()) return false;
  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object()) return false;
  ReadText(*delta, "content", event.content);
  ReadText(choice, "finish_reason", event.finish_reason);
  return true;
}

bool ReadEvent(const std::string& data, token_event& event) {
  const json document = json::parse(data, nullptr, false);
  if (!document.is_object()) return false;
  const auto index = document.find("index");
  if (index == document.end() || !index->is_number_unsigned()) return false;
  event.index = index->get<std::uint64_t>();
  return ReadText(document, "id", event.request) && ReadText(document, "attempt", event.attempt) &&
         ReadChoice(document, event);
}

}  // namespace

std::string_view ToText(drop_reason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

drop_reason engine_stream::CheckHeaders(std::string_view request, std::string_view attempt) {
  drop_reason reason = drop_reason::kNone;
  if (attempt != attempt_.str()) reason = drop_reason::kAttemptMismatch;
  if (request != request_.str()) reason = drop_reason::kRequestMismatch;
  if (reason != drop_reason::kNone) usable_ = false;
  return reason;
}

engine_stream::event_result engine_stream::Accept(const server_event& event) {
  if (complete_ || !usable_) return Dropped(drop_reason::kAfterEnd);
  if (event.type == "error") return Unusable(drop_reason::kEngineError);
  if (event.data == "[DONE]") {
    complete_ = true;
    return {verdict::kComplete, drop_reason::kNone, {}, {}};
  }
  token_event token;
  if (!ReadEvent(event.data, token)) return Unusable(drop_reason::kMalformed);
  if (token.request != request_.str()) return Unusable(drop_reason::kRequestMismatch);
  if (token.attempt != attempt_.str()) return Unusable(drop_reason::kAttemptMismatch);
  if (token.index < next_index_.get()) return Dropped(drop_reason::kRepeatedIndex);
  if (token.index > next_index_.get()) return Unusable(drop_reason::kGap);
  next_index_ = next_index_.Next();
  return {verdict::kToken, drop_reason::kNone, std::move(token.content),
          std::move(token.finish_reason)};
}

engine_stream::event_result engine_stream::Unusable(drop_reason reason) {
  usable_ = false;
  return {verdict::kUnusable, reason, {}, {}};
}

engine_stream::event_result engine_stream::Dropped(drop_reason reason) {
  return {verdict::kDropped, reason, {}, {}};
}

}  // namespace waxwingwing
