#pragma once

#include <memory>
#include <vector>

#include "gateway/request_filter.h"

namespace waxwingwing {

/// The ordered filters of the request path, from `identify` to `relay`.
///
/// `limits` is not part of the chain: it reads the request, which the built-in endpoints need too.
class filter_chain {
 public:
  filter_chain();

  /// Applies the filters in order until one of them answers the request.
  awaitable<void> Apply(request_context& context) const;

 private:
  std::vector<std::unique_ptr<request_filter>> filters_;
};

}  // namespace waxwingwing
