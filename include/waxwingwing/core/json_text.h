#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Limits on JSON text from outside the process. Nesting is limited because serialising a value is
/// recursive.
struct json_limits {
  std::size_t max_bytes = std::size_t{1} << 20U;
  std::size_t max_depth = 16;
};

/// Parses JSON text. Fails, without an exception, on a syntax error, a duplicate member name in one
/// object, or a text that exceeds the limits.
result<nlohmann::json> ParseJsonText(std::string_view text, const json_limits& limits = {});

/// Returns the compact JSON text of a value. Bytes that are not valid UTF-8 are replaced, since an
/// exception would terminate the process.
std::string ToJsonText(const nlohmann::json& value);

}  // namespace waxwingwing
