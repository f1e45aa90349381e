#pragma once

#include <cstdint>
#include <map>

#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// Requests at backend servers at one moment.
using server_requests = std::map<backend_server_id, std::uint32_t>;

}  // namespace waxwingwing
