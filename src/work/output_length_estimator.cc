#include "waxwingwing/work/output_length_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

/// For log-normal lengths whose logarithm has a standard deviation of 0.5 to 1, the mean lies at
/// the quantiles 0.60 to 0.69.
constexpr double kQuantile = 0.65;
/// Smallest step of an update, so that the estimate follows lengths that change; about 20 outputs
/// halve an error of two times.
constexpr double kMinStep = 0.08;
/// Outputs from which a learned ratio is used.
constexpr std::uint32_t kMinSamples = 6;
/// Bound of the memory for classes, about 200 kB. Routes alone need far fewer.
constexpr std::size_t kMaxClasses = 4096;
/// Prior where neither the caller nor the configuration states a length.
constexpr token_count kDefaultOutput{128};

token_count PriorOf(const request_size& size, token_count usual) {
  token_count prior = size.output_hint.value_or(usual.get() > 0 ? usual : kDefaultOutput);
  if (size.max_output) prior = std::min(prior, *size.max_output);
  return std::max(prior, token_count(1));
}

/// Lengths of the same magnitude belong to one class.
std::uint64_t MagnitudeOf(const request_size& size) {
  if (size.output_hint) return 100 + std::bit_width(size.output_hint->get());
  return size.max_output ? std::bit_width(size.max_output->get()) : 0;
}

std::uint64_t RouteKey(const output_class& kind, const request_size& size) {
  return StableHash(kind.route, MagnitudeOf(size));
}

std::uint64_t OrganisationKey(const output_class& kind, const request_size& size) {
  return StableHash(kind.organisation.str(), RouteKey(kind, size));
}

}  // namespace

const output_length_estimator::learned_ratio* output_length_estimator::Find(
    std::uint64_t key) const {
  const auto found = ratios_.find(key);
  return found == ratios_.end() || found->second.samples < kMinSamples ? nullptr : &found->second;
}

token_count output_length_estimator::Estimate(const output_class& kind, const request_size& size,
                                              token_count usual) const {
  const learned_ratio* ratio = Find(OrganisationKey(kind, size));
  if (ratio == nullptr) ratio = Find(RouteKey(kind, size));
  const token_count prior = PriorOf(size, usual);
  if (ratio == nullptr) return prior;
  const double length = static_cast<double>(prior.get()) * std::exp(ratio->log_ratio);
  const token_count estimate(static_cast<std::uint64_t>(std::llround(std::max(length, 1.0))));
  return size.max_output
             ? std::clamp(estimate, token_count(1), std::max(*size.max_output, token_count(1)))
             : estimate;
}

void output_length_estimator::Record(const output_class& kind, const request_size& size,
                                     token_count usual, token_count observed, bool complete) {
  const auto prior = static_cast<double>(PriorOf(size, usual).get());
  const double real = std::max(static_cast<double>(observed.get()), 1.0);
  const double log_ratio = std::log(real / prior);
  Learn(RouteKey(kind, size), log_ratio, complete);
  Learn(OrganisationKey(kind, size), log_ratio, complete);
}

void output_length_estimator::Learn(std::uint64_t key, double log_ratio, bool complete) {
  if (!ratios_.contains(key) && ratios_.size() >= kMaxClasses) return;
  learned_ratio& ratio = ratios_[key];
  // An output that was cut off above the estimate is longer than it; one below says nothing.
  if (!complete && log_ratio <= ratio.log_ratio) return;
  if (ratio.samples == 0) ratio.log_ratio = log_ratio;
  ++ratio.samples;
  const double step = std::max(kMinStep, 1.0 / ratio.samples);
  ratio.log_ratio += step * (log_ratio > ratio.log_ratio ? kQuantile : kQuantile - 1);
}

}  // namespace waxwingwing
