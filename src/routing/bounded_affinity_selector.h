#pragma once

#include <cstddef>
#include <vector>

#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

/// Sends requests with the same prompt beginning to the same candidate, chosen by rendezvous
/// hashing, unless it is loaded well above the mean; then takes the least loaded one.
class bounded_affinity_selector final : public replica_selector {
 public:
  std::vector<std::size_t> Rank(const selection_input& input) override;

 private:
  std::size_t turn_ = 0;
};

}  // namespace waxwingwing
