#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Number of free VMs in one fabric domain.
struct fabric_capacity {
  fabric_domain_id fabric;
  std::size_t free = 0;
};

/// Chooses the fabric domain in which a new replica is placed.
class packing_strategy {
 public:
  virtual ~packing_strategy() = default;

  /// A fabric domain with at least `needed` free VMs; empty when there is none. `capacities` is
  /// sorted by fabric domain id.
  virtual std::optional<fabric_domain_id> Choose(const std::vector<fabric_capacity>& capacities,
                                                 std::size_t needed) const = 0;
};

/// Creates `best_fit` (the fewest free VMs that suffice) or `first_fit` (the lowest id that
/// suffices); fails with the list of known names when `name` is neither.
result<std::unique_ptr<packing_strategy>> MakePackingStrategy(std::string_view name);

}  // namespace waxwingwing
