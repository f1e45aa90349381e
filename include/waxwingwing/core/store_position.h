#pragma once

#include <compare>
#include <cstdint>

#include "waxwingwing/core/strong_type.h"

namespace waxwingwing {

/// How often the store was restored from a copy. It rises with each restore, after which the store
/// gives out again offsets that it had given out before.
using store_era = strong_number<struct store_era_tag>;

/// A place in one stream of the store. Offsets of different eras cannot be compared, so that places
/// are ordered by their era first.
struct store_position {
  store_era era;
  std::uint64_t offset = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): reported for comparisons that the compiler rewrites.
  auto operator<=>(const store_position&) const = default;
};

}  // namespace waxwingwing
