#pragma once

#include "gateway/request_filter.h"

namespace waxwingwing {

/// Sends the request to its backend server and relays the answer.
class relay_filter final : public request_filter {
 public:
  awaitable<filter_step> Apply(request_context& context) const override;
};

}  // namespace waxwingwing
