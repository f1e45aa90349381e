#pragma once

#include <optional>
#include <string_view>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// An answer of this VM's own, in place of a backend server's.
struct call_refusal {
  unsigned status = 500;
  /// Stable name of the reason, for the caller, the log and the counters.
  std::string_view reason;
  std::optional<milliseconds> retry_after;
};

}  // namespace waxwingwing
