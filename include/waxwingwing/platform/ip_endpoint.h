#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Parses `ip:port` (`[ip]:port` for IPv6). Fails on host names, since the product does
/// not resolve names.
result<boost::asio::ip::tcp::endpoint> ParseIpEndpoint(std::string_view text);

}  // namespace waxwingwing
