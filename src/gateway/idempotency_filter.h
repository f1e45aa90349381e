#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Claims the idempotency key of a call that must not run more than once.
class idempotency_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
