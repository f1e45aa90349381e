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

}  // namespace

std::string FreeAddress() {
  constexpr std::uint16_t first_port = 16000;
  constexpr std::uint64_t ports = 16000;
  constexpr int attempts = 100;
  static random_source random = random_source::FromDevice();
  static std::set<std::uint16_t> returned;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const auto port = static_cast<std::uint16_t>(first_port + random.Below(ports));
    if (!IsFree(port) || !returned.insert(port).second) continue;
    return "127.0.0.1:" + std::to_string(port);
  }
  throw std::runtime_error("no free port");
}

}  // namespace waxwingwing::integration
