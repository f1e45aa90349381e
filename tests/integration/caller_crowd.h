#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "waxwingwing/core/units.h"

namespace waxwingwing::integration {

/// Raw connections to one address that send what they are given and read nothing.
///
/// The other end may close a connection or stop reading; both are no error of this class.
class caller_crowd {
 public:
  /// Opens `size` connections to `ip:port`; throws std::runtime_error when one cannot be opened.
  caller_crowd(const std::string& address, std::size_t size);
  caller_crowd(const caller_crowd&) = delete;
  caller_crowd& operator=(const caller_crowd&) = delete;
  ~caller_crowd();

  /// Sends `text` on every connection, a piece of `piece` bytes on each in turn. Returns when every
  /// connection has sent all of it or was closed by the other end, or after `bound`.
  void Send(const std::string& text, std::size_t piece, milliseconds bound);
  /// Waits until the other end has read all bytes that it has received on this address' port, or
  /// has read none of them for a second; at most for `bound`.
  void WaitUntilRead(milliseconds bound) const;
  /// Number of connections that the other end has not closed.
  std::size_t Open() const;

 private:
  struct caller {
    int socket = -1;
    std::size_t sent = 0;
    bool closed = false;
  };

  /// Port of the other end.
  std::uint16_t port_;
  std::vector<caller> callers_;
};

}  // namespace waxwingwing::integration
