#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Refuses the request while dispatch is suspended, also when that began after a backend server was
/// selected.
class route_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
