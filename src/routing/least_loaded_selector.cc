#include "routing/least_loaded_selector.h"

#include "routing/candidate_load.h"

namespace waxwingwing {

std::vector<std::size_t> least_loaded_selector::Rank(const selection_input& input) {
  const std::size_t turn = turn_++;
  return RankByTier(input, [&input, turn](candidate_tier& members) {
    Rotate(members, turn);
    SortByLoad(input, members);
  });
}

}  // namespace waxwingwing
