#pragma once

#include <cstdint>

#include "waxwingwing/core/units.h"
#include "waxwingwing/directory/engine_settings.h"
#include "waxwingwing/work/request_cost.h"

namespace waxwingwing {

/// Predicts how long the groups of one model work.
class engine_profile {
 public:
  /// `pace`: factor on all times of the model's groups.
  engine_profile(const engine_settings& settings, double pace) : settings_(settings), pace_(pace) {}

  /// Time of one decoding step for `sequences` requests whose contexts have `context` tokens in
  /// total.
  fractional_milliseconds StepTime(double sequences, token_count context) const;
  /// Time by which one more request lengthens each decoding step.
  fractional_milliseconds StepTimeOf(const request_cost& cost) const;
  /// Time to prefill a prompt while nothing else runs.
  fractional_milliseconds PrefillTime(token_count prompt) const;
  request_cost CostOf(token_count prompt, token_count output) const;

  std::uint32_t steps_per_event() const { return settings_.steps_per_event; }
  token_count kv_capacity() const { return settings_.kv_capacity; }

 private:
  engine_settings settings_;
  double pace_;
};

}  // namespace waxwingwing
