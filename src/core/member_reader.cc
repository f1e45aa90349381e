#include "core/member_reader.h"

namespace waxwingwing {

using nlohmann::json;

member_reader::member_reader(const json& value) : value_(value) {
  if (!value.is_object()) Fail("is not an object");
}

void member_reader::Fail(const std::string& reason) {
  if (reason_.empty()) reason_ = reason;
}

std::string member_reader::Text(const char* name, std::size_t max_bytes) {
  const json* const found = Find(name);
  if (found == nullptr) return {};
  const auto* const text = found->get_ptr<const std::string*>();
  if (text == nullptr || text->empty() || text->size() > max_bytes) {
    Fail(std::string(name) + " is no string of valid length");
    return {};
  }
  return *text;
}

std::uint64_t member_reader::Number(const char* name, std::uint64_t least, std::uint64_t greatest) {
  const json* const found = Find(name);
  if (found == nullptr) return {};
  const bool valid = found->is_number_unsigned() && found->get<std::uint64_t>() >= least &&
                     found->get<std::uint64_t>() <= greatest;
  if (!valid) {
    Fail(std::string(name) + " is no number in range");
    return {};
  }
  return found->get<std::uint64_t>();
}

std::optional<std::uint64_t> member_reader::OptionalNumber(const char* name) {
  if (!ok()) return std::nullopt;
  const auto found = value_.find(name);
  if (found == value_.end() || found->is_null()) return std::nullopt;
  return Number(name);
}

bool member_reader::Flag(const char* name) {
  const json* const found = Find(name);
  if (found == nullptr) return false;
  if (found->is_boolean()) return found->get<bool>();
  Fail(std::string(name) + " is not true or false");
  return false;
}

const json& member_reader::Array(const char* name) {
  static const json kEmpty = json::array();
  const json* const found = Find(name);
  if (found == nullptr) return kEmpty;
  if (found->is_array()) return *found;
  Fail(std::string(name) + " is no array");
  return kEmpty;
}

const json& member_reader::Object(const char* name) {
  static const json kEmpty = json::object();
  const json* const found = Find(name);
  if (found == nullptr) return kEmpty;
  if (found->is_object()) return *found;
  Fail(std::string(name) + " is no object");
  return kEmpty;
}

const json* member_reader::Find(const char* name) {
  if (!ok()) return nullptr;
  const auto found = value_.find(name);
  if (found != value_.end()) return &*found;
  Fail(std::string(name) + " is missing");
  return nullptr;
}

}  // namespace waxwingwing
