#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Queues the request for its organisation until a backend server has capacity for it.
class admission_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
