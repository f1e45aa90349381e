#include "tests/integration/caller_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

#include "waxwingwing/core/clock.h"

namespace waxwingwing::integration {
namespace {

constexpr milliseconds kPause{1};
constexpr milliseconds kReadCheckInterval{50};
/// Time without progress after which the other end is taken to read no more.
constexpr milliseconds kStandstill{1000};

/// Bytes that the system has received for the connections at a local port and that were not read.
std::uint64_t UnreadBytes(std::uint16_t port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::uint64_t unread = 0;
  while (std::getline(table, line)) {
    // Fields: number, local address:port, remote address:port, state, unsent:unread, ...
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const bool is_listening = state == "0A";
    const std::size_t colon = local.find(':');
    if (is_listening || colon == std::string::npos) continue;
    if (std::stoul(local.substr(colon + 1), nullptr, 16) != port) continue;
    unread += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return unread;
}

sockaddr_in ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
    throw std::runtime_error("not ip:port: " + address);
  }
  return parsed;
}

int Connect(const sockaddr_in& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);  // NOLINT
  if (socket >= 0 && ::connect(socket, generic, sizeof(address)) == 0) return socket;
  if (socket >= 0) ::close(socket);
  throw std::runtime_error("a connection of the crowd cannot be opened");
}

}  // namespace

caller_crowd::caller_crowd(const std::string& address, std::size_t size) {
  const sockaddr_in parsed = ParseAddress(address);
  port_ = ntohs(parsed.sin_port);
  for (std::size_t i = 0; i < size; ++i) callers_.push_back({Connect(parsed)});
}

caller_crowd::~caller_crowd() {
  for (const caller& each : callers_) ::close(each.socket);
}

void caller_crowd::Send(const std::string& text, std::size_t piece, milliseconds bound) {
  const time_point deadline = std::chrono::steady_clock::now() + bound;
  for (caller& each : callers_) each.sent = 0;
  bool unfinished = true;
  while (unfinished && std::chrono::steady_clock::now() < deadline) {
    unfinished = false;
    bool advanced = false;
    for (caller& each : callers_) {
      if (each.closed || each.sent == text.size()) continue;
      const std::string_view rest = std::string_view{text}.substr(each.sent, piece);
      const auto size = ::send(each.socket, rest.data(), rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (size > 0) each.sent += static_cast<std::size_t>(size);
      if (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK) each.closed = true;
      advanced = advanced || size > 0;
      unfinished = unfinished || (!each.closed && each.sent < text.size());
    }
    if (!advanced) std::this_thread::sleep_for(kPause);
  }
}

void caller_crowd::WaitUntilRead(milliseconds bound) const {
  const time_point deadline = std::chrono::steady_clock::now() + bound;
  time_point changed_at = std::chrono::steady_clock::now();
  std::uint64_t known = UnreadBytes(port_);
  while (known > 0 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kReadCheckInterval);
    const std::uint64_t unread = UnreadBytes(port_);
    const time_point now = std::chrono::steady_clock::now();
    if (unread != known) changed_at = now;
    if (now - changed_at > kStandstill) return;
    known = unread;
  }
}

std::size_t caller_crowd::Open() const {
  return static_cast<std::size_t>(
      std::count_if(callers_.begin(), callers_.end(), [](const caller& each) {
        char byte = 0;
        // Answers are left unread, so they may stand before the end of the connection.
        if (each.closed) return false;
        const ssize_t size = ::recv(each.socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
      }));
}

}  // namespace waxwingwing::integration
