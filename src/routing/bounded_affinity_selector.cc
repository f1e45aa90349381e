#include "routing/bounded_affinity_selector.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>

#include "routing/candidate_load.h"
#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

/// Highest load at which the preferred candidate is selected, relative to the mean load.
constexpr double kLoadBound = 1.25;

/// Hash key of a candidate. It does not change with the generation of a replica, so that requests
/// continue to use the replica's prompt cache.
std::string_view StableName(const backend_view& candidate) {
  return candidate.replica.empty() ? candidate.vm.str() : candidate.replica.str();
}

std::size_t PreferredPlace(const selection_input& input, const candidate_tier& members) {
  std::array<char, sizeof(input.prefix_hash)> key{};
  std::memcpy(key.data(), &input.prefix_hash, key.size());
  const std::string_view key_text(key.data(), key.size());
  std::size_t preferred = 0;
  std::uint64_t highest = 0;
  for (std::size_t place = 0; place < members.size(); ++place) {
    const std::uint64_t weight =
        RendezvousWeight(StableName(input.candidates[members[place]]), key_text);
    if (weight < highest) continue;
    highest = weight;
    preferred = place;
  }
  return preferred;
}

/// Whether the load of the candidate at `place` is low enough to prefer it. The bound is at least
/// one request above the mean, since otherwise an almost idle domain would never use its caches.
bool IsWithinBound(const selection_input& input, const candidate_tier& members, std::size_t place) {
  double held_in_total = 0;
  double limit_in_total = 0;
  for (const std::size_t index : members) {
    const backend_view& candidate = input.candidates[index];
    if (candidate.budget == nullptr) continue;
    held_in_total += HeldRequests(candidate, input.now);
    limit_in_total += candidate.budget->Limits().requests.get();
  }
  const backend_view& preferred = input.candidates[members[place]];
  if (preferred.budget == nullptr) return false;
  const double limit = preferred.budget->Limits().requests.get();
  if (limit == 0) return false;
  const double mean_held = held_in_total / limit_in_total * limit;
  const double held = HeldRequests(preferred, input.now);
  return held < limit && held <= std::max(kLoadBound * mean_held, mean_held + 1);
}

}  // namespace

std::vector<std::size_t> bounded_affinity_selector::Rank(const selection_input& input) {
  const std::size_t turn = turn_++;
  return RankByTier(input, [&input, turn](candidate_tier& members) {
    const std::size_t place = PreferredPlace(input, members);
    const std::size_t preferred = members[place];
    const bool use_preferred = IsWithinBound(input, members, place);
    Rotate(members, turn);
    SortByLoad(input, members);
    if (!use_preferred) return;
    const auto found = std::find(members.begin(), members.end(), preferred);
    std::rotate(members.begin(), found, found + 1);
  });
}

}  // namespace waxwingwing
