#pragma once

#include <string_view>

#include "gateway/request_context.h"

namespace waxwingwing {

/// Result of waiting for a backend server.
enum class placement_status {
  kPlaced,
  kSuspended,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kNoCapacity,
  kCallerGone,
};

/// A status, and when the caller may try again.
struct placement_outcome {
  placement_status status = placement_status::kPlaced;
  /// Set when the request is refused.
  milliseconds retry_after{0};
};

/// Waits in the queue of the request's group for a backend server with free capacity, at most until
/// `deadline`. Sets `context.placement` when placed.
awaitable<placement_outcome> WaitForPlacement(request_context& context, time_point deadline);

/// Converts any status but `kPlaced` to the refusal that is sent to the caller.
refusal ToRefusal(const placement_outcome& outcome);

}  // namespace waxwingwing
