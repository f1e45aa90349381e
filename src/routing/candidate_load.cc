#include "routing/candidate_load.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace waxwingwing {

double HeldRequests(const backend_view& candidate, time_point now) {
  double held = 0;
  if (candidate.budget != nullptr) held += candidate.budget->InUse().requests.get();
  if (now - candidate.reported_at <= kLoadReportLifetime) held += candidate.reported_running.get();
  return held;
}

double RelativeLoad(const backend_view& candidate, time_point now) {
  const std::uint32_t limit =
      candidate.budget == nullptr ? 0 : candidate.budget->Limits().requests.get();
  if (limit == 0) return std::numeric_limits<double>::infinity();
  return HeldRequests(candidate, now) / limit;
}

double MedianMsPerToken(const std::vector<backend_view>& candidates) {
  std::vector<double> times;
  for (const backend_view& candidate : candidates) {
    if (candidate.routable && candidate.ms_per_token > 0) times.push_back(candidate.ms_per_token);
  }
  if (times.empty()) return 0;
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

std::vector<std::size_t> RankByTier(const selection_input& input,
                                    const std::function<void(candidate_tier&)>& order) {
  std::array<candidate_tier, 4> tiers;
  const double straggler_ms = kStragglerFactor * MedianMsPerToken(input.candidates);
  for (std::size_t index = 0; index < input.candidates.size(); ++index) {
    const backend_view& candidate = input.candidates[index];
    if (!candidate.routable) continue;
    const bool other_domain = candidate.failure_domain != input.own_domain;
    const bool straggler = candidate.ms_per_token > straggler_ms;
    tiers[(other_domain ? 2U : 0U) + (straggler ? 1U : 0U)].push_back(index);
  }
  std::vector<std::size_t> ranking;
  ranking.reserve(input.candidates.size());
  for (candidate_tier& members : tiers) {
    if (members.size() > 1) order(members);
    ranking.insert(ranking.end(), members.begin(), members.end());
  }
  return ranking;
}

void SortByLoad(const selection_input& input, candidate_tier& members) {
  std::vector<std::pair<double, std::size_t>> loaded;
  loaded.reserve(members.size());
  // Each load is read only once, because other threads change it as they acquire tickets, and a
  // sort needs keys that do not change.
  for (const std::size_t index : members) {
    loaded.emplace_back(RelativeLoad(input.candidates[index], input.now), index);
  }
  std::stable_sort(loaded.begin(), loaded.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  for (std::size_t place = 0; place < members.size(); ++place) {
    members[place] = loaded[place].second;
  }
}

void Rotate(candidate_tier& members, std::size_t offset) {
  if (members.empty()) return;
  const auto first = static_cast<std::ptrdiff_t>(offset % members.size());
  std::rotate(members.begin(), members.begin() + first, members.end());
}

}  // namespace waxwingwing
