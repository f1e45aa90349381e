#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Reads the request and enforces the limits on its size and on the time to receive it.
class limits_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
