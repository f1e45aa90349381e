#pragma once

#include <cstdint>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Work that a request causes at a group.
struct request_cost {
  /// Time in which the prompt is prefilled, if nothing else runs.
  microseconds prefill{0};
  /// Decoding steps, one for each output token.
  std::uint64_t decode_steps = 0;
  /// Tokens that it occupies in the KV cache at its end.
  token_count memory;
};

/// Work that requests have still to cause at a server.
struct outstanding_work {
  /// Prefill of the requests whose answer has not begun.
  microseconds prefill{0};
  std::uint64_t decode_steps = 0;
  /// Tokens in the KV cache that the requests occupy, or will occupy.
  token_count memory;

  bool operator==(const outstanding_work&) const = default;
  outstanding_work& operator+=(const outstanding_work& other);
  /// Subtracts with a lower bound of zero, as reports of different age may not match.
  outstanding_work& operator-=(const outstanding_work& other);
};

}  // namespace waxwingwing
