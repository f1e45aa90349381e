#include "config/value_reader.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameInPlace = 64;

bool IsIdCharacter(char character) {
  constexpr std::string_view others = "._:@-";
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || others.find(character) != others.npos;
}

template <typename number>
void ReadCounted(const json& value, const value_context& context, number& out) {
  std::uint64_t read = 0;
  if (!ReadNumber(value, context, read)) return;
  out = number(static_cast<typename number::representation_type>(read));
}

template <typename choice>
void ReadChoice(const json& value, const value_context& context, const char* first_name,
                choice first, const char* second_name, choice second, choice& out) {
  if (value == first_name) {
    out = first;
  } else if (value == second_name) {
    out = second;
  } else {
    context.findings.Add(context.place,
                         std::string("must be \"") + first_name + "\" or \"" + second_name + "\"");
  }
}

}  // namespace

std::string MemberPlace(const std::string& place, const std::string& name) {
  return place + "." + name.substr(0, kMaxNameInPlace);
}

std::string ElementPlace(const std::string& place, std::size_t index) {
  return place + "[" + std::to_string(index) + "]";
}

bool ReadNumber(const json& value, const value_context& context, std::uint64_t& out) {
  const number_range& range = context.range;
  const std::string limits = std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
  if (!value.is_number_unsigned()) {
    context.findings.Add(context.place, "must be a whole number from " + limits);
    return false;
  }
  const auto number = value.get<std::uint64_t>();
  if (number < range.minimum || number > range.maximum) {
    context.findings.Add(context.place, "is out of range, must be from " + limits);
    return false;
  }
  out = number;
  return true;
}

bool ReadIdText(const json& value, const value_context& context, std::string& out) {
  if (!value.is_string()) {
    context.findings.Add(context.place, "must be a string");
    return false;
  }
  const auto& text = value.get_ref<const std::string&>();
  const bool valid = !text.empty() && text.size() <= kMaxIdLength &&
                     std::all_of(text.begin(), text.end(), IsIdCharacter);
  if (!valid) {
    context.findings.Add(context.place,
                         "must be 1 to 128 characters out of letters, digits and ._:@-");
    return false;
  }
  out = text;
  return true;
}

void ReadValue(const json& value, const value_context& context, std::string& out) {
  if (!value.is_string()) {
    context.findings.Add(context.place, "must be a string");
    return;
  }
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty() || text.size() > kMaxTextLength) {
    context.findings.Add(context.place, "must have 1 to 256 bytes");
    return;
  }
  out = text;
}

void ReadValue(const json& value, const value_context& context, bool& out) {
  if (!value.is_boolean()) {
    context.findings.Add(context.place, "must be true or false");
    return;
  }
  out = value.get<bool>();
}

void ReadValue(const json& value, const value_context& context, std::uint32_t& out) {
  std::uint64_t read = 0;
  if (ReadNumber(value, context, read)) out = static_cast<std::uint32_t>(read);
}

void ReadValue(const json& value, const value_context& context, request_count& out) {
  ReadCounted(value, context, out);
}

void ReadValue(const json& value, const value_context& context, byte_count& out) {
  ReadCounted(value, context, out);
}

void ReadValue(const json& value, const value_context& context, token_count& out) {
  ReadCounted(value, context, out);
}

void ReadValue(const json& value, const value_context& context, milliseconds& out) {
  std::uint64_t read = 0;
  if (ReadNumber(value, context, read)) out = milliseconds(read);
}

void ReadValue(const json& value, const value_context& context, domain_state& out) {
  ReadChoice(value, context, "in", domain_state::kIn, "out", domain_state::kOut, out);
}

void ReadValue(const json& value, const value_context& context, cut_off_policy& out) {
  ReadChoice(value, context, "serve", cut_off_policy::kServe, "stop", cut_off_policy::kStop, out);
}

void ReadValue(const json& value, const value_context& context,
               std::vector<failure_domain_id>& out) {
  if (!value.is_array() || value.empty()) {
    context.findings.Add(context.place, "must be an array with at least one failure domain id");
    return;
  }
  std::set<std::string> seen;
  out.clear();
  for (std::size_t index = 0; index < value.size(); ++index) {
    const std::string place = ElementPlace(context.place, index);
    std::string id;
    if (!ReadIdText(value[index], {place, {}, context.findings}, id)) continue;
    if (!seen.insert(id).second) context.findings.Add(place, "is named twice");
    out.emplace_back(std::move(id));
  }
}

json WriteValue(const std::string& value) { return value; }
json WriteValue(bool value) { return value; }
json WriteValue(std::uint32_t value) { return value; }
json WriteValue(request_count value) { return value.get(); }
json WriteValue(byte_count value) { return value.get(); }
json WriteValue(token_count value) { return value.get(); }
json WriteValue(milliseconds value) { return static_cast<std::uint64_t>(value.count()); }
json WriteValue(domain_state value) { return value == domain_state::kIn ? "in" : "out"; }
json WriteValue(cut_off_policy value) { return value == cut_off_policy::kServe ? "serve" : "stop"; }

json WriteValue(const std::vector<failure_domain_id>& value) {
  json ids = json::array();
  for (const failure_domain_id& id : value) ids.push_back(id.str());
  return ids;
}

}  // namespace waxwingwing
