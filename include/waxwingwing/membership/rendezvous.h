#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// The `count` nodes with the highest rendezvous weight for `key`, highest first; fewer when there
/// are fewer nodes.
std::vector<vm_id> SelectByRendezvous(std::vector<vm_id> nodes, std::string_view key,
                                      std::size_t count);

/// The entry VM that polls `backend`; an empty id when `live_members` is empty. Nodes with the same
/// view of the live members agree.
vm_id SelectPoller(const vm_id& backend, const std::vector<vm_id>& live_members);

}  // namespace waxwingwing
