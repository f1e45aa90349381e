#include "stand_ins/socket_owner.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace waxwingwing::stand_ins {
namespace {

constexpr int kHexadecimal = 16;

/// Port of an address in `/proc/net/tcp`, which is written as `ADDRESS:PORT` in hexadecimal.
std::uint16_t PortOf(const std::string& address) {
  const std::string port = address.substr(address.find(':') + 1);
  return static_cast<std::uint16_t>(std::stoul(port, nullptr, kHexadecimal));
}

/// The inode of the loopback socket with these ports.
std::optional<std::string> FindInode(std::uint16_t local_port, std::uint16_t remote_port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string skipped;
    std::string inode;
    fields >> slot >> local >> remote;
    for (int i = 0; i < 6; ++i) fields >> skipped;
    fields >> inode;
    if (fields && PortOf(local) == local_port && PortOf(remote) == remote_port) return inode;
  }
  return std::nullopt;
}

}  // namespace

bool IsPeerOf(const tcp::socket& accepted, std::int64_t pid) {
  error_code error;
  const auto peer = accepted.remote_endpoint(error);
  if (error) return false;
  const auto inode = FindInode(peer.port(), accepted.local_endpoint(error).port());
  if (error || !inode) return false;
  const std::string wanted = "socket:[" + *inode + "]";
  std::error_code ignored;
  const auto folder = std::filesystem::path("/proc") / std::to_string(pid) / "fd";
  for (const auto& entry : std::filesystem::directory_iterator(folder, ignored)) {
    if (std::filesystem::read_symlink(entry.path(), ignored) == wanted) return true;
  }
  return false;
}

}  // namespace waxwingwing::stand_ins
