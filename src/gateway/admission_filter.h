#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Waits in the organisation's queue until a backend server has room.
class admission_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
