#include "gateway/route_filter.h"

#include "gateway/placer.h"

namespace waxwingwing {

awaitable<filter_step> route_filter::Apply(request_context& context) const {
  // The control state may have become stale since the backend server was selected.
  const bool suspended =
      context.dispatch_suspended || context.request_worker.Snapshot()->dispatch_suspended;
  if (!suspended) co_return filter_step::kNext;
  context.ReleasePlacement();
  context.Refuse(ToRefusal({placement_status::kSuspended, milliseconds(500)}));
  co_return filter_step::kAnswered;
}

}  // namespace waxwingwing
