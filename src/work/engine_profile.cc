#include "waxwingwing/work/engine_profile.h"

#include <algorithm>
#include <cmath>

namespace waxwingwing {
namespace {

constexpr double kKilotoken = 1e3;
constexpr double kMegapair = 1e6;
/// Bound of a prefill, so that sums fit into their type whatever the configuration states.
constexpr fractional_milliseconds kMaxPrefill = std::chrono::hours(1);

}  // namespace

fractional_milliseconds engine_profile::StepTime(double sequences, token_count context) const {
  const double kilotokens = static_cast<double>(context.get()) / kKilotoken;
  return pace_ * (settings_.step_time + sequences * settings_.step_time_per_sequence +
                  kilotokens * settings_.step_time_per_kilotoken);
}

fractional_milliseconds engine_profile::StepTimeOf(const request_cost& cost) const {
  return StepTime(1, cost.memory) - StepTime(0, token_count(0));
}

fractional_milliseconds engine_profile::PrefillTime(token_count prompt) const {
  const auto tokens = static_cast<double>(prompt.get());
  fractional_milliseconds time =
      tokens * tokens / 2 / kMegapair * settings_.prefill_time_per_megapair;
  if (settings_.prefill_rate > 0)
    time += std::chrono::duration<double>(tokens / settings_.prefill_rate);
  // A step prefills a chunk at most, so a long prompt takes several.
  const auto chunk = static_cast<double>(settings_.prefill_chunk.get());
  if (chunk > 0) time += std::floor(tokens / chunk) * settings_.step_time;
  return pace_ * time;
}

request_cost engine_profile::CostOf(token_count prompt, token_count output) const {
  const auto prefill = std::min(PrefillTime(prompt), kMaxPrefill);
  return {std::chrono::ceil<microseconds>(prefill), output.get(), prompt + output};
}

}  // namespace waxwingwing
