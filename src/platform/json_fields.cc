#include "waxwingwing/platform/json_fields.h"

#include <cmath>
#include <utility>

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 64;

/// Whether brackets outside strings nest deeper than `kMaxDepth`.
bool IsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') ++i;
      if (character == '"') in_string = false;
      continue;
    }
    if (character == '"') in_string = true;
    if (character == '[' || character == '{') ++depth;
    if ((character == ']' || character == '}') && depth > 0) --depth;
    if (depth > kMaxDepth) return true;
  }
  return false;
}

const json& EmptyArray() {
  static const json kEmpty = json::array();
  return kEmpty;
}

const json& Null() {
  static const json kNull;
  return kNull;
}

}  // namespace

result<json> ParseJson(std::string_view text) {
  if (IsTooDeep(text)) return result<json>::Failure("JSON is nested too deeply");
  json value = json::parse(text, nullptr, false);
  if (value.is_discarded()) return result<json>::Failure("malformed JSON");
  return result<json>(std::move(value));
}

std::string PrintJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json_fields::json_fields(const json& object, std::string place, finding_list& findings)
    : object_(object), place_(std::move(place)), findings_(findings) {
  if (!object_.is_object()) findings_.Add(place_, "must be an object");
}

const json& json_fields::Value(const char* key) const {
  if (!object_.is_object()) return Null();
  const auto found = object_.find(key);
  return found == object_.end() ? Null() : *found;
}

void json_fields::AddFinding(const char* key, std::string message) {
  findings_.Add(FieldPath(key), std::move(message));
}

std::string json_fields::Text(const char* key) {
  const json& value = Value(key);
  if (value.is_string() && !value.get_ref<const std::string&>().empty()) {
    return value.get<std::string>();
  }
  AddFinding(key, "must be a text that is not empty");
  return {};
}

std::string json_fields::OptionalText(const char* key) {
  const json& value = Value(key);
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_null()) AddFinding(key, "must be a text");
  return {};
}

std::uint64_t json_fields::Number(const char* key, std::uint64_t limit) {
  const json& value = Value(key);
  if (value.is_number_unsigned() && value.get<std::uint64_t>() <= limit) {
    return value.get<std::uint64_t>();
  }
  AddFinding(key, "must be a whole number from 0 to " + std::to_string(limit));
  return 0;
}

std::uint64_t json_fields::OptionalNumber(const char* key, std::uint64_t limit) {
  return Has(key) ? Number(key, limit) : 0;
}

double json_fields::NonNegativeNumber(const char* key) {
  const json& value = Value(key);
  const double number = value.is_number() ? value.get<double>() : -1;
  if (std::isfinite(number) && number >= 0) return number;
  AddFinding(key, "must be a number that is not negative");
  return 0;
}

bool json_fields::Flag(const char* key) {
  const json& value = Value(key);
  if (value.is_boolean()) return value.get<bool>();
  AddFinding(key, "must be true or false");
  return false;
}

const json& json_fields::Array(const char* key) {
  const json& value = Value(key);
  if (value.is_array()) return value;
  AddFinding(key, "must be an array");
  return EmptyArray();
}

}  // namespace waxwingwing
