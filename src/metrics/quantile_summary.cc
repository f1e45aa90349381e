#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cassert>
#include <cmath>

#include "waxwingwing/metrics/metrics_registry.h"

namespace waxwingwing {
namespace {

namespace accumulators = boost::accumulators;

using accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                accumulators::tag::extended_p_square>>;

const std::vector<double> kFractions = {0.5, 0.95, 0.99};

// The P-square algorithm starts after 2 * quantiles + 3 values, one per marker; up to then
// quantiles are computed exactly.
constexpr std::size_t kMarkers = 9;

}  // namespace

struct quantile_summary::state {
  accumulator all{accumulators::tag::extended_p_square::probabilities = kFractions};
  /// The first `kMarkers` observations, sorted.
  std::vector<double> first;
};

quantile_summary::quantile_summary() : state_(std::make_unique<state>()) {}

quantile_summary::~quantile_summary() = default;

void quantile_summary::Observe(double seconds) {
  // A single value that is not finite would make all later estimates invalid.
  if (!std::isfinite(seconds)) return;
  const std::lock_guard lock(mutex_);
  state_->all(seconds);
  std::vector<double>& first = state_->first;
  if (first.size() >= kMarkers) return;
  first.insert(std::upper_bound(first.begin(), first.end(), seconds), seconds);
}

std::uint64_t quantile_summary::Count() const {
  const std::lock_guard lock(mutex_);
  return accumulators::count(state_->all);
}

double quantile_summary::Sum() const {
  const std::lock_guard lock(mutex_);
  return accumulators::sum(state_->all);
}

double quantile_summary::Quantile(double fraction) const {
  const auto found = std::find(kFractions.begin(), kFractions.end(), fraction);
  assert(found != kFractions.end());
  const std::lock_guard lock(mutex_);
  const std::vector<double>& first = state_->first;
  if (first.empty()) return 0;
  if (accumulators::count(state_->all) > kMarkers) {
    return accumulators::extended_p_square(state_->all)[found - kFractions.begin()];
  }
  const double rank = std::ceil(fraction * static_cast<double>(first.size()));
  return first[static_cast<std::size_t>(rank) - 1];
}

}  // namespace waxwingwing
