#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace waxwingwing::review {

using milliseconds = std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

inline time_point Now() { return std::chrono::steady_clock::now(); }

/// Owns a file descriptor.
class descriptor {
 public:
  explicit descriptor(int handle = -1) : handle_(handle) {}
  descriptor(descriptor&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
  descriptor& operator=(descriptor&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  ~descriptor();

  int get() const { return handle_; }
  explicit operator bool() const { return handle_ >= 0; }

 private:
  int handle_;
};

/// A socket that listens on a free port of 127.0.0.1.
struct listener {
  descriptor socket;
  std::string address;
};

listener Listen();
/// A port of 127.0.0.1 that was free a moment ago.
std::uint16_t FreePort();
std::string Loopback(std::uint16_t port);

/// Connects to an `ip:port` address; the descriptor is empty on failure.
descriptor Connect(const std::string& address);
/// Returns false when the peer has closed the connection or does not take the bytes for 5 s.
bool SendAll(const descriptor& socket, std::string_view bytes);

enum class receive_result { kBytes, kEnd, kReset, kTimeout };

/// Appends what arrives next to `bytes`.
receive_result Receive(const descriptor& socket, std::string& bytes, time_point deadline);

}  // namespace waxwingwing::review
