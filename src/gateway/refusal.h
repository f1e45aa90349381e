#pragma once

#include <string>
#include <string_view>

#include "gateway/http_types.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/streaming/attempt_policy.h"

namespace waxwingwing {

/// An error response to the caller.
struct refusal {
  /// Stable error code; also the `reason` label of the refusals metric.
  std::string_view code;
  std::string message;
  /// Whether the request may have run.
  execution_status truth = execution_status::kNotRun;
  /// 0 when a retry does not help.
  milliseconds retry_after{0};
};

/// HTTP status of an error code; 500 for an unknown code.
unsigned HttpStatusOf(std::string_view code);

/// JSON body of the response:
/// `{"error":{"code":S,"message":S,"attempt":S,"retry_after_ms":N}}`
std::string ToJson(const refusal& reason);

/// Converts the refusal to an answer, with a `Retry-After` header when `retry_after` is set.
whole_answer ToAnswer(const refusal& reason);

}  // namespace waxwingwing
