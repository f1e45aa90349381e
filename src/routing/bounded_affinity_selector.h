#pragma once

#include <cstddef>
#include <vector>

#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

/// Prefers the same candidate for all requests with the same prompt prefix, selected by rendezvous
/// hashing, unless its load is well above the mean; then prefers the least loaded candidate.
class bounded_affinity_selector final : public replica_selector {
 public:
  std::vector<std::size_t> Rank(const selection_input& input) override;

 private:
  std::size_t turn_ = 0;
};

}  // namespace waxwingwing
