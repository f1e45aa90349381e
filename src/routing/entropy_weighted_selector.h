#pragma once

#include <cstddef>
#include <vector>

#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

/// Ranks candidates by min-max normalised load indicators (reported running requests, KV use, time
/// per token), weighted by the entropy weight method. Serves as a baseline for comparisons.
class entropy_weighted_selector final : public replica_selector {
 public:
  std::vector<std::size_t> Rank(const selection_input& input) override;

 private:
  std::size_t turn_ = 0;
};

}  // namespace waxwingwing
