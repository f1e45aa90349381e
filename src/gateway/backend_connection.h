#pragma once

#include <cstdint>
#include <string>

#include "gateway/http_types.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Maximum size of the status line and headers of a backend server's response, in bytes.
constexpr std::uint32_t kMaxAnswerHeadBytes = 8192;

/// TCP connection to one backend server for one attempt. Not thread-safe: used on one request
/// thread.
class backend_connection {
 public:
  explicit backend_connection(const asio::any_io_executor& executor);
  backend_connection(const backend_connection&) = delete;
  backend_connection& operator=(const backend_connection&) = delete;

  /// Connects to `ip:port` with a receive buffer of the given size.
  awaitable<error_code> Connect(const std::string& address, byte_count receive_buffer,
                                milliseconds timeout);
  /// Closes the connection; operations in progress end with an error.
  void Close() { stream_.close(); }

  beast::tcp_stream& stream() { return stream_; }
  beast::flat_buffer& buffer() { return buffer_; }

 private:
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

/// True for errors of a broken connection, as opposed to an orderly close.
bool IsReset(const error_code& error);

}  // namespace waxwingwing
