#pragma once

#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/store_position.h"

namespace waxwingwing {

/// What a VM knows of the operators' records in the store.
struct operators_view {
  /// The place after the newest record.
  store_position next;
  /// When it was last confirmed that there is no newer record.
  std::optional<time_point> confirmed_at;
  /// The earliest time at which that can have been, however long messages took.
  std::optional<time_point> earliest_confirmation;
};

}  // namespace waxwingwing
