#include "waxwingwing/platform/json_bytes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "waxwingwing/platform/json_fields.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

/// The byte B stands as the character U+10FF00 + B, whose last two bytes in UTF-8 hold the bits of
/// B. Only bytes from 0x80 on can be no UTF-8.
constexpr std::string_view kStandInPrefix = "\xf4\x8f";
constexpr unsigned kThirdByte = 0xbc;
constexpr unsigned kContinuation = 0x80;
constexpr unsigned kContinuationMask = 0xc0;
constexpr unsigned kLowBits = 0x3f;
constexpr unsigned kLowBitCount = 6;
constexpr std::size_t kStandInBytes = 4;

/// A range of first bytes, and what must follow them (Unicode standard, table 3-7).
struct sequence_form {
  unsigned first_low;
  unsigned first_high;
  std::size_t length;
  unsigned second_low;
  unsigned second_high;
};

constexpr std::array<sequence_form, 9> kForms = {{{0x00, 0x7f, 1, 0, 0},
                                                  {0xc2, 0xdf, 2, 0x80, 0xbf},
                                                  {0xe0, 0xe0, 3, 0xa0, 0xbf},
                                                  {0xe1, 0xec, 3, 0x80, 0xbf},
                                                  {0xed, 0xed, 3, 0x80, 0x9f},
                                                  {0xee, 0xef, 3, 0x80, 0xbf},
                                                  {0xf0, 0xf0, 4, 0x90, 0xbf},
                                                  {0xf1, 0xf3, 4, 0x80, 0xbf},
                                                  {0xf4, 0xf4, 4, 0x80, 0x8f}}};

unsigned ByteAt(std::string_view text, std::size_t place) {
  return static_cast<unsigned char>(text[place]);
}

/// Length of the UTF-8 sequence with which `text` begins; 0 when it begins with none.
std::size_t SequenceLength(std::string_view text) {
  const unsigned first = ByteAt(text, 0);
  for (const sequence_form& form : kForms) {
    if (first < form.first_low || first > form.first_high) continue;
    if (text.size() < form.length) return 0;
    if (form.length == 1) return 1;
    const unsigned second = ByteAt(text, 1);
    if (second < form.second_low || second > form.second_high) return 0;
    for (std::size_t i = 2; i < form.length; ++i) {
      if ((ByteAt(text, i) & kContinuationMask) != kContinuation) return 0;
    }
    return form.length;
  }
  return 0;
}

/// Replaces each byte that is no UTF-8 by the character that stands for it.
std::string WithStandIns(std::string_view text) {
  std::string replaced;
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    if (length > 0) {
      replaced += text.substr(0, length);
      text.remove_prefix(length);
      continue;
    }
    const unsigned byte = ByteAt(text, 0);
    replaced += kStandInPrefix;
    replaced += static_cast<char>(kThirdByte | byte >> kLowBitCount);
    replaced += static_cast<char>(kContinuation | (byte & kLowBits));
    text.remove_prefix(1);
  }
  return replaced;
}

/// Whether `text` begins with a character that stands for a byte.
bool BeginsWithStandIn(std::string_view text) {
  return text.size() >= kStandInBytes && text.starts_with(kStandInPrefix) &&
         (ByteAt(text, 2) >> 1U) << 1U == (kThirdByte | 2U);
}

std::string RestoreText(std::string_view text) {
  std::string restored;
  while (!text.empty()) {
    if (!BeginsWithStandIn(text)) {
      restored += text.front();
      text.remove_prefix(1);
      continue;
    }
    const unsigned high = ByteAt(text, 2) << kLowBitCount;
    restored += static_cast<char>(high | (ByteAt(text, 3) & kLowBits));
    text.remove_prefix(kStandInBytes);
  }
  return restored;
}

/// Restores the bytes in all strings of a value; its depth is limited by `ParseJson`.
// NOLINTNEXTLINE(misc-no-recursion)
json RestoreBytes(const json& value) {
  if (value.is_string()) return RestoreText(value.get_ref<const std::string&>());
  if (value.is_array()) {
    json restored = json::array();
    for (const json& item : value) restored.push_back(RestoreBytes(item));
    return restored;
  }
  if (value.is_object()) {
    json restored = json::object();
    for (const auto& [key, item] : value.items()) restored[RestoreText(key)] = RestoreBytes(item);
    return restored;
  }
  return value;
}

}  // namespace

result<json> ParseJsonBytes(std::string_view text) {
  auto parsed = ParseJson(text);
  if (parsed) return parsed;
  const std::string replaced = WithStandIns(text);
  // Nothing was replaced, so the text is malformed for another reason.
  if (replaced.size() == text.size()) return parsed;
  auto readable = ParseJson(replaced);
  if (!readable) return readable;
  return RestoreBytes(*readable);
}

}  // namespace waxwingwing
