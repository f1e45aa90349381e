#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "waxwingwing/core/hash.h"

namespace waxwingwing::stand_ins {

/// Returns token number `index` of the engine stand-in's answer to a request whose last message is
/// `text`. The same arguments give the same token, so that tests can check answers.
inline std::string AnswerToken(std::string_view text, std::uint64_t index) {
  return fmt::format("{:x} ", StableHash(text, index));
}

}  // namespace waxwingwing::stand_ins
