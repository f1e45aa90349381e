#pragma once

#include <string>

namespace waxwingwing::integration {

/// An address of loopback whose port is free at this moment, and which this process has not
/// returned before. The port lies below those that the system gives to outgoing connections, one of
/// which could otherwise take it before the program under test listens.
std::string FreeAddress();

/// Returns the first of two adjacent ports of loopback that no process listens on and that were not
/// returned before.
std::uint16_t FreePortPair();

}  // namespace waxwingwing::integration
