#include "forward/group_room.h"

#include <algorithm>

namespace waxwingwing {

group_room FindGroupRoom(server_selection& selection,
                         const std::vector<dispatch_candidate>& candidates, time_point now) {
  group_room room;
  for (const dispatch_candidate& candidate : candidates) {
    const server_load& load = selection.LoadOf(candidate.server);
    const std::size_t taken = std::size_t{load.running()} + load.other_vm_requests(now);
    if (taken >= candidate.slots) {
      room.queued += taken - candidate.slots;
    } else if (!load.IsSuspended(now)) {
      room.free += candidate.slots - taken;
    }
  }
  const std::size_t balanced = std::min(room.free, room.queued);
  room.free -= balanced;
  room.queued -= balanced;
  return room;
}

}  // namespace waxwingwing
