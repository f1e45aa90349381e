#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// What the name of a group tells: a new controller reads it from registrations alone.
struct group_name {
  std::string model;
  /// The group of one spare server, which keeps the model loaded and is never opened.
  bool spare = false;
  std::uint64_t number = 0;
  /// The server of rank 0 and its `ip:port`, so that a controller that has never seen the head can
  /// ask it; empty for spares.
  backend_server_id head;
  std::string head_address;
};

server_group_id MakeGroupName(const group_name& name);
/// Empty when the name is not one of `MakeGroupName`.
std::optional<group_name> ParseGroupName(const server_group_id& id);

}  // namespace waxwingwing
