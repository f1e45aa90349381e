#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Claims the idempotency key of a non-repeatable service call, or replays the recorded outcome.
class idempotency_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
