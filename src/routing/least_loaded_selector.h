#pragma once

#include <cstddef>
#include <vector>

#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

/// Prefers the least loaded candidate, and rotates among equally loaded ones.
class least_loaded_selector final : public replica_selector {
 public:
  std::vector<std::size_t> Rank(const selection_input& input) override;

 private:
  std::size_t turn_ = 0;
};

}  // namespace waxwingwing
