#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Determines the organisation, the model group or service, the cost and the deadline of a request.
class identify_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
