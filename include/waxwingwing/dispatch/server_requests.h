#pragma once

#include <cstdint>
#include <map>

#include "waxwingwing/directory/backend_server.h"
#include "waxwingwing/work/request_cost.h"

namespace waxwingwing {

/// Requests at one backend server at one point in time.
struct server_usage {
  std::uint32_t running = 0;
  /// Work of those whose cost is known.
  outstanding_work work{};

  server_usage& operator+=(const server_usage& other);
  /// Subtracts with a lower bound of zero, as counts of different age may not match.
  server_usage& operator-=(const server_usage& other);
};

/// Requests at each backend server at one point in time.
using server_requests = std::map<backend_server_id, server_usage>;

}  // namespace waxwingwing
