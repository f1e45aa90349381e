#include "routing/round_robin_selector.h"

#include "routing/candidate_load.h"

namespace waxwingwing {

std::vector<std::size_t> round_robin_selector::Rank(const selection_input& input) {
  const std::size_t turn = turn_++;
  return RankByTier(input, [turn](candidate_tier& members) { Rotate(members, turn); });
}

}  // namespace waxwingwing
