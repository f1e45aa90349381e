#pragma once

#include <cstddef>
#include <vector>

#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/dispatch/server_selection.h"

namespace waxwingwing {

/// Places at the groups of a model, by the requests of this VM and those that other VMs reported.
struct group_room {
  /// Free places beyond those that the queued requests could take.
  std::size_t free = 0;
  /// Requests at full groups beyond the free places of the other groups.
  std::size_t queued = 0;
};

group_room FindGroupRoom(server_selection& selection,
                         const std::vector<dispatch_candidate>& candidates, time_point now);

}  // namespace waxwingwing
