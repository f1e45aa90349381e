#include "waxwingwing/formation/group_name.h"

#include <charconv>
#include <string_view>

namespace waxwingwing {
namespace {

constexpr std::string_view kServingPrefix = "serve:";
constexpr std::string_view kSparePrefix = "spare:";

}  // namespace

server_group_id MakeGroupName(const group_name& name) {
  std::string text(name.spare ? kSparePrefix : kServingPrefix);
  text += name.model;
  text += ':';
  text += std::to_string(name.number);
  return server_group_id(text);
}

std::optional<group_name> ParseGroupName(const server_group_id& id) {
  std::string_view text = id.str();
  group_name name;
  name.spare = text.starts_with(kSparePrefix);
  if (!name.spare && !text.starts_with(kServingPrefix)) return std::nullopt;
  text.remove_prefix(kServingPrefix.size());
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  name.model = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), name.number);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) return std::nullopt;
  return name;
}

}  // namespace waxwingwing
