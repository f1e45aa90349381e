#include "waxwingwing/formation/group_name.h"

#include <charconv>
#include <string_view>

namespace waxwingwing {
namespace {

constexpr std::string_view kServingPrefix = "serve:";
constexpr std::string_view kSparePrefix = "spare:";
constexpr char kHeadSeparator = '@';

/// Parses the head and its address, if present, and removes them from the end of `text`.
void ExtractHead(std::string_view& text, group_name& name) {
  const std::size_t address = text.rfind(kHeadSeparator);
  if (address == std::string_view::npos || address == 0) return;
  const std::size_t head = text.rfind(kHeadSeparator, address - 1);
  if (head == std::string_view::npos) return;
  name.head = backend_server_id(std::string(text.substr(head + 1, address - head - 1)));
  name.head_address = text.substr(address + 1);
  text = text.substr(0, head);
}

}  // namespace

server_group_id MakeGroupName(const group_name& name) {
  std::string text(name.spare ? kSparePrefix : kServingPrefix);
  text += name.model;
  text += ':';
  text += std::to_string(name.number);
  if (!name.head.empty())
    text += kHeadSeparator + name.head.str() + kHeadSeparator + name.head_address;
  return server_group_id(text);
}

std::optional<group_name> ParseGroupName(const server_group_id& id) {
  std::string_view text = id.str();
  group_name name;
  name.spare = text.starts_with(kSparePrefix);
  if (!name.spare && !text.starts_with(kServingPrefix)) return std::nullopt;
  text.remove_prefix(kServingPrefix.size());
  if (!name.spare) ExtractHead(text, name);
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  name.model = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), name.number);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) return std::nullopt;
  return name;
}

}  // namespace waxwingwing
