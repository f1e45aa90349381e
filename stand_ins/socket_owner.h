#pragma once

#include <cstdint>

#include "stand_ins/asio.h"

namespace waxwingwing::stand_ins {

/// Whether the peer of an accepted loopback connection is a socket of the process `pid` of this
/// machine.
bool IsPeerOf(const tcp::socket& accepted, std::int64_t pid);

}  // namespace waxwingwing::stand_ins
