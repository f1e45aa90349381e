#include "routing/entropy_weighted_selector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

#include "routing/candidate_load.h"

namespace waxwingwing {
namespace {

constexpr std::size_t kIndicators = 3;
/// Values of one load indicator for all candidates of a tier.
using indicator = std::vector<double>;

double KvUse(const backend_view& candidate) {
  if (candidate.budget == nullptr) return 1;
  const auto limit = static_cast<double>(candidate.budget->Limits().kv_tokens.get());
  if (limit == 0) return 1;
  return static_cast<double>(candidate.budget->InUse().kv_tokens.get()) / limit;
}

std::array<indicator, kIndicators> ReadIndicators(const selection_input& input,
                                                  const candidate_tier& members) {
  std::array<indicator, kIndicators> indicators;
  for (const std::size_t index : members) {
    const backend_view& candidate = input.candidates[index];
    indicators[0].push_back(candidate.reported_running.get());
    indicators[1].push_back(KvUse(candidate));
    indicators[2].push_back(candidate.ms_per_token);
  }
  return indicators;
}

/// Min-max normalisation in which the smallest value becomes 1; all 0 when the values are equal.
void Normalise(indicator& values) {
  const auto [smallest, largest] = std::minmax_element(values.begin(), values.end());
  const double low = *smallest;
  const double high = *largest;
  for (double& value : values) value = high > low ? (high - value) / (high - low) : 0;
}

/// 1 minus the information entropy of the normalised values; 0 when all values are equal and so do
/// not distinguish the candidates.
double Divergence(const indicator& values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  if (sum <= 0) return 0;
  double entropy = 0;
  for (const double value : values) {
    const double part = value / sum;
    if (part > 0) entropy -= part * std::log(part);
  }
  return 1 - entropy / std::log(static_cast<double>(values.size()));
}

std::vector<double> Scores(const selection_input& input, const candidate_tier& members) {
  auto indicators = ReadIndicators(input, members);
  std::vector<double> scores(members.size(), 0);
  for (indicator& values : indicators) {
    Normalise(values);
    // The weights are not divided by their sum, since that does not change the order.
    const double weight = Divergence(values);
    for (std::size_t place = 0; place < scores.size(); ++place) {
      scores[place] += weight * values[place];
    }
  }
  return scores;
}

}  // namespace

std::vector<std::size_t> entropy_weighted_selector::Rank(const selection_input& input) {
  const std::size_t turn = turn_++;
  return RankByTier(input, [&input, turn](candidate_tier& members) {
    Rotate(members, turn);
    const std::vector<double> scores = Scores(input, members);
    std::vector<std::size_t> places(members.size());
    std::iota(places.begin(), places.end(), std::size_t{0});
    std::stable_sort(places.begin(), places.end(), [&](std::size_t left, std::size_t right) {
      return scores[left] > scores[right];
    });
    candidate_tier ordered;
    ordered.reserve(members.size());
    for (const std::size_t place : places) ordered.push_back(members[place]);
    members = std::move(ordered);
  });
}

}  // namespace waxwingwing
