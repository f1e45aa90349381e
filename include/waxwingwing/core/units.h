#pragma once

#include <chrono>
#include <cstdint>

#include "waxwingwing/core/strong_type.h"

namespace waxwingwing {

using byte_count = strong_number<struct byte_count_tag>;
using token_count = strong_number<struct token_count_tag>;

/// Number of concurrent requests, in use or allowed.
using request_count = strong_number<struct request_count_tag, std::uint32_t>;

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

}  // namespace waxwingwing
