#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Finds the organisation and the model group or service, and the request's cost and deadline.
class identify_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
