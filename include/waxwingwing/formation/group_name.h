#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// Fields encoded in the name of a group, so that a new controller can recover them from
/// registrations alone.
struct group_name {
  std::string model;
  /// Whether the group consists of one spare server that keeps the model loaded and is never
  /// opened.
  bool spare = false;
  std::uint64_t number = 0;
  /// The server of rank 0 and its `ip:port`, so that a controller that has never seen the head
  /// registered can probe it; empty for spares.
  backend_server_id head;
  std::string head_address;
};

server_group_id MakeGroupName(const group_name& name);
/// Returns nothing when the name was not produced by `MakeGroupName`.
std::optional<group_name> ParseGroupName(const server_group_id& id);

}  // namespace waxwingwing
