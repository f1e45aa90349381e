#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <stdexcept>

namespace waxwingwing::review {
namespace {

constexpr int kBacklog = 256;
constexpr int kSendLimitMs = 5000;
constexpr std::size_t kReceiveSize = 65536;
constexpr int kFirstPort = 16000;
constexpr int kLastPort = 31999;
constexpr int kPortAttempts = 100;

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

descriptor::~descriptor() {
  if (handle_ >= 0) ::close(handle_);
}

listener Listen() {
  descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = LoopbackAddress(0);
  auto* generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT
  socklen_t size = sizeof address;
  const bool bound = ::bind(socket.get(), generic, size) == 0 &&
                     ::listen(socket.get(), kBacklog) == 0 &&
                     ::getsockname(socket.get(), generic, &size) == 0;
  if (!bound) throw std::runtime_error("cannot listen on a loopback address");
  return {std::move(socket), Loopback(ntohs(address.sin_port))};
}

std::uint16_t FreePort() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<std::uint16_t> returned;
  // Below the ports that the system gives to outgoing connections, which could take one meanwhile.
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    const descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = LoopbackAddress(port);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);  // NOLINT
    const bool is_free = ::bind(socket.get(), generic, sizeof address) == 0;
    if (is_free && returned.insert(port).second) return port;
  }
  throw std::runtime_error("no port is free");
}

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

descriptor Connect(const std::string& address) {
  const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!socket) return socket;
  const sockaddr_in target = LoopbackAddress(port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&target);  // NOLINT
  if (::connect(socket.get(), generic, sizeof target) != 0) return descriptor();
  const int on = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

bool SendAll(const descriptor& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    pollfd ready{socket.get(), POLLOUT, 0};
    if (::poll(&ready, 1, kSendLimitMs) <= 0) return false;
    const ssize_t sent =
        ::send(socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

receive_result Receive(const descriptor& socket, std::string& bytes, time_point deadline) {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - Now()).count();
  pollfd ready{socket.get(), POLLIN, 0};
  const int waited = ::poll(&ready, 1, static_cast<int>(std::max<decltype(left)>(left, 0)));
  if (waited <= 0) return receive_result::kTimeout;
  std::array<char, kReceiveSize> buffer{};
  const ssize_t size = ::recv(socket.get(), buffer.data(), buffer.size(), 0);
  if (size < 0) return receive_result::kReset;
  if (size == 0) return receive_result::kEnd;
  bytes.append(buffer.data(), static_cast<std::size_t>(size));
  return receive_result::kBytes;
}

}  // namespace waxwingwing::review
