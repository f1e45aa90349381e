#pragma once

#include <algorithm>
#include <string>
#include <string_view>

#include "waxwingwing/core/random_source.h"

namespace waxwingwing {

/// Returns `text` with one to eight random changes: bytes replaced, removed, repeated or inserted.
inline std::string Mutate(std::string text, random_source& random) {
  static constexpr std::string_view kTokens[] = {
      "null", "-1", "1e999", "18446744073709551616", "\"", "{", "}", "[[[[", "]", "\\u0000", "\xff",
  };
  const std::uint64_t changes = 1 + random.Below(8);
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random.Below(text.size());
    const std::size_t length = std::min<std::size_t>(1 + random.Below(12), text.size() - at);
    switch (random.Below(5)) {
      case 0:
        text[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.replace(at, length, kTokens[random.Below(std::size(kTokens))]);
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

}  // namespace waxwingwing
