#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Free VMs of one fabric domain.
struct fabric_room {
  fabric_domain_id fabric;
  std::size_t free = 0;
};

/// Strategy that chooses the fabric domain for a new replica.
class packing_strategy {
 public:
  virtual ~packing_strategy() = default;

  /// A fabric domain with at least `needed` free VMs; empty when there is none. `rooms` is in the
  /// order of the fabric domain ids.
  virtual std::optional<fabric_domain_id> Choose(const std::vector<fabric_room>& rooms,
                                                 std::size_t needed) const = 0;
};

/// Creates `best_fit` (least room that suffices) or `first_fit` (lowest id that suffices); fails
/// with the list of names when `name` is neither.
result<std::unique_ptr<packing_strategy>> MakePackingStrategy(std::string_view name);

}  // namespace waxwingwing
