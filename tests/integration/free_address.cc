#include "tests/integration/free_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <set>
#include <stdexcept>

#include "waxwingwing/core/random_source.h"

namespace waxwingwing::integration {
namespace {

bool IsFree(std::uint16_t port) {
  const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT
  const bool bound = ::bind(handle, generic, sizeof address) == 0;
  ::close(handle);
  return bound;
}

/// The first of `count` adjacent ports that are free and were not returned before.
std::uint16_t FreePorts(std::uint16_t count) {
  constexpr std::uint16_t first_port = 16000;
  constexpr std::uint64_t ports = 16000;
  constexpr int attempts = 100;
  static random_source random = random_source::FromDevice();
  static std::set<std::uint16_t> returned;
  const auto is_usable = [](std::uint16_t port) {
    return IsFree(port) && !returned.contains(port);
  };
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const auto first = static_cast<std::uint16_t>(first_port + random.Below(ports));
    bool are_usable = true;
    for (std::uint16_t i = 0; i < count; ++i) are_usable = are_usable && is_usable(first + i);
    if (!are_usable) continue;
    for (std::uint16_t i = 0; i < count; ++i) returned.insert(first + i);
    return first;
  }
  throw std::runtime_error("no free port");
}

}  // namespace

std::string FreeAddress() { return "127.0.0.1:" + std::to_string(FreePorts(1)); }

std::uint16_t FreePortPair() { return FreePorts(2); }

}  // namespace waxwingwing::integration
