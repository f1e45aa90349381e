#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace waxwingwing {

/// Encodes a number as the store does in pages of records.
inline std::string BigEndian(std::uint64_t number, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text += static_cast<char>(number >> (8 * (i - 1)) & 0xffU);
  }
  return text;
}

}  // namespace waxwingwing
