#pragma once

#include <cstdint>
#include <map>

#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// Number of running requests at each backend server at one point in time.
using server_requests = std::map<backend_server_id, std::uint32_t>;

}  // namespace waxwingwing
