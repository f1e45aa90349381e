#pragma once

#include <string>
#include <string_view>

#include "gateway/http_types.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/streaming/attempt_policy.h"

namespace waxwingwing {

/// A rejection or failure as the caller sees it.
struct refusal {
  /// Stable name, also the label of the counter.
  std::string_view code;
  std::string message;
  attempt_truth truth = attempt_truth::kNotRun;
  /// 0 when asking again does not help.
  milliseconds retry_after{0};
};

/// HTTP status that goes with a code; 500 for a code that is not in the table.
unsigned StatusOf(std::string_view code);

/// `{"error":{"code":S,"message":S,"attempt":S,"retry_after_ms":N}}`
std::string ToJson(const refusal& reason);

/// The refusal as an answer, with `Retry-After` when it has a time.
whole_answer ToAnswer(const refusal& reason);

}  // namespace waxwingwing
