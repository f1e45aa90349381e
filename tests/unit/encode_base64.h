#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingwing {

/// Encodes bytes as the store does in lists of its newest records.
inline std::string EncodeBase64(const std::string& text) {
  static constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      group = group << 8U | (j < text.size() ? static_cast<unsigned char>(text[j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      encoded += i + j <= text.size() ? kAlphabet[group >> (6 * (3 - j)) & 63U] : '=';
    }
  }
  return encoded;
}

}  // namespace waxwingwing
