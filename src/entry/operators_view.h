#pragma once

#include <cstdint>
#include <optional>

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// What a VM knows of the operators' records in the store.
struct operators_view {
  /// Offset after the newest record.
  std::uint64_t next = 0;
  /// When it was last confirmed that there is no newer record.
  std::optional<time_point> confirmed_at;
  /// The earliest time at which that can have been, however long messages took.
  std::optional<time_point> earliest_confirmation;
};

}  // namespace waxwingwing
