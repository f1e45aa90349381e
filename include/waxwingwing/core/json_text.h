#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Bounds on JSON text from outside. Nesting is bounded because writing a value is recursive.
struct json_limits {
  std::size_t max_bytes = std::size_t{1} << 20U;
  std::size_t max_depth = 16;
};

/// Parses JSON text. Fails, without an exception, on a syntax error, a member named twice in one
/// object, or a text outside the limits.
result<nlohmann::json> ParseJsonText(std::string_view text, const json_limits& limits = {});

/// Compact text of a value. Bytes that are not UTF-8 are replaced, since an exception would stop
/// the process.
std::string ToJsonText(const nlohmann::json& value);

}  // namespace waxwingwing
