#pragma once

#include <optional>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// What a caller states about the size of a request.
struct request_size {
  std::optional<token_count> prompt;
  /// Upper limit of the output.
  std::optional<token_count> max_output;
  /// The caller's own estimate of the output.
  std::optional<token_count> output_hint;
};

}  // namespace waxwingwing
