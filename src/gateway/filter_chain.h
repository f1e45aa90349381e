#pragma once

#include <memory>
#include <vector>

#include "gateway/request_filter.h"

namespace waxwingwing {

/// The filters of the request path in their order, from `identify` to `relay`.
///
/// `limits` is not part of it: it reads the request, which also the other endpoints need.
class filter_chain {
 public:
  filter_chain();

  /// Applies the filters until one answers.
  awaitable<void> Apply(request_context& context) const;

 private:
  std::vector<std::unique_ptr<request_filter>> filters_;
};

}  // namespace waxwingwing
