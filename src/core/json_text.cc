#include "waxwingwing/core/json_text.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameInMessage = 64;

/// Checks nesting depth and duplicate member names during parsing, before any value is built.
class limit_checker final : public nlohmann::json_sax<json> {
 public:
  explicit limit_checker(std::size_t max_depth) : max_depth_(max_depth) {}

  const std::string& reason() const { return reason_; }

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*elements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }

  bool key(string_t& name) override {
    if (open_.back().insert(name).second) return true;
    reason_ = "member is given twice: " + name.substr(0, kMaxNameInMessage);
    return false;
  }

  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    reason_ = "is not JSON (byte " + std::to_string(position) + ")";
    return false;
  }

 private:
  bool Enter() {
    if (open_.size() >= max_depth_) {
      reason_ = "is nested more than " + std::to_string(max_depth_) + " levels deep";
      return false;
    }
    open_.emplace_back();
    return true;
  }

  bool Leave() {
    open_.pop_back();
    return true;
  }

  const std::size_t max_depth_;
  std::vector<std::set<std::string>> open_;
  std::string reason_;
};

}  // namespace

result<json> ParseJsonText(std::string_view text, const json_limits& limits) {
  if (text.size() > limits.max_bytes) {
    return result<json>::Failure("is larger than " + std::to_string(limits.max_bytes) + " bytes");
  }
  limit_checker checker(limits.max_depth);
  if (!json::sax_parse(text, &checker)) return result<json>::Failure(checker.reason());
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) return result<json>::Failure("is not JSON");
  return result<json>(std::move(value));
}

std::string ToJsonText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace waxwingwing
