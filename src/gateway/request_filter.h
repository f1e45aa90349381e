#pragma once

#include "gateway/request_context.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// What follows after a filter.
enum class filter_step {
  /// The next filter is applied.
  kNext,
  /// The context holds the answer, or the answer was already sent.
  kAnswered,
};

/// One step of the request path. Stateless: one instance serves all requests on all threads.
class request_filter {
 public:
  request_filter() = default;
  request_filter(const request_filter&) = delete;
  request_filter& operator=(const request_filter&) = delete;
  virtual ~request_filter() = default;

  virtual awaitable<filter_step> Apply(request_context& context) const = 0;
};

}  // namespace waxwingwing
