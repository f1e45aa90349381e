#pragma once

#include <cstddef>

#include "waxwingwing/entry/entry_settings.h"
#include "waxwingwing/forward/forward_options.h"
#include "waxwingwing/peer/peer_network.h"

namespace waxwingwing {

/// The forwarder's options on this VM: bounds on callers' bytes and connections that leave enough
/// of the VM's memory and descriptors. Bounds that the settings do not state keep their defaults.
forward_options ForwardOptions(const entry_settings& settings);

/// Most connections at a time to the port of readiness and metrics. The platform's checks need one
/// or two.
std::size_t MaxReadinessConnections(const entry_settings& settings);

/// Bounds what the connections of other VMs may hold, by this VM's memory and descriptors.
void LimitPeers(const entry_settings& settings, peer_settings& peers);

/// Makes the allocator return large freed blocks to the system, so that memory which was used for
/// callers once does not add to other uses later. For the whole process.
void ReturnFreedBlocks();

}  // namespace waxwingwing
