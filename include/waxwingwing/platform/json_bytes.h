#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Parses JSON text like `ParseJson`, also when some of its strings hold bytes that are not UTF-8.
/// These bytes are kept as they are, so that the other values can be read.
///
/// Such bytes stand for characters of a private area while they are parsed. In a text that holds
/// both, these characters come back as bytes.
result<nlohmann::json> ParseJsonBytes(std::string_view text);

}  // namespace waxwingwing
