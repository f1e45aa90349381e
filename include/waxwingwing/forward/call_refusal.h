#pragma once

#include <optional>
#include <string_view>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// An error response that this VM generates itself instead of forwarding a backend server's.
struct call_refusal {
  unsigned status = 500;
  /// Stable name of the reason, as sent to the caller and used in log lines and metric labels.
  std::string_view reason;
  /// Delay after which the caller is advised to retry; absent when no delay is sent.
  std::optional<milliseconds> retry_after;
};

}  // namespace waxwingwing
