#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Reads the rest of the request within the limits of size and time.
class limits_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
