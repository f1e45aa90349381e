#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Checks the selected backend server before the request goes there.
class route_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
