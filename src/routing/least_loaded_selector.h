#pragma once

#include <cstddef>
#include <vector>

#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

/// Takes the least loaded candidate; equally loaded ones in turn.
class least_loaded_selector final : public replica_selector {
 public:
  std::vector<std::size_t> Rank(const selection_input& input) override;

 private:
  std::size_t turn_ = 0;
};

}  // namespace waxwingwing
