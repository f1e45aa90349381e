#pragma once

#include <string_view>

#include "gateway/request_context.h"

namespace waxwingwing {

enum class placement_status {
  kPlaced,
  kSuspended,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kNoCapacity,
  kCallerGone,
};

struct placement_outcome {
  placement_status status = placement_status::kPlaced;
  /// Set when refused.
  milliseconds retry_after{0};
};

/// Waits in the queue of the request's group for a backend server with room, at most until
/// `deadline`. When placed, `context.placement` is set.
awaitable<placement_outcome> WaitForPlacement(request_context& context, time_point deadline);

/// The refusal for anything but `kPlaced`.
refusal ToRefusal(const placement_outcome& outcome);

}  // namespace waxwingwing
