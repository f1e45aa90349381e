#pragma once

#include <chrono>
#include <cstdint>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A time in milliseconds with a fractional part.
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

/// Times and sizes of the groups of a service with models, as configured. Times are those of a
/// model of pace 1; see `model_settings::pace`.
struct engine_settings {
  /// Time of a decoding step, without the parts that depend on the requests.
  fractional_milliseconds step_time{0};
  /// Added to a decoding step by each request that is being decoded.
  fractional_milliseconds step_time_per_sequence{0};
  /// Added to a decoding step by each 1,000 tokens of context of the requests being decoded.
  fractional_milliseconds step_time_per_kilotoken{0};
  /// Prompt tokens that are prefilled in a second.
  double prefill_rate = 0;
  /// Added to the prefill for each million pairs of a token and any earlier one.
  fractional_milliseconds prefill_time_per_megapair{0};
  /// Largest number of prompt tokens that one step prefills; 0: no limit.
  token_count prefill_chunk;
  /// Decoding steps between two events of a stream; also the output tokens of an event.
  std::uint32_t steps_per_event = 1;
  /// Tokens that a group's KV cache holds; 0: not stated.
  token_count kv_capacity;
  /// Mean lengths of requests; 0: not stated.
  token_count usual_prompt;
  token_count usual_output;
};

}  // namespace waxwingwing
