#pragma once

#include <string>

#include "gateway/http_types.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A connection to one backend server for one attempt. Used on one request thread.
class backend_connection {
 public:
  explicit backend_connection(const asio::any_io_executor& executor);
  backend_connection(const backend_connection&) = delete;
  backend_connection& operator=(const backend_connection&) = delete;

  /// Connects to `ip:port` with a receive buffer of the given size.
  awaitable<error_code> Connect(const std::string& address, byte_count receive_buffer,
                                milliseconds timeout);
  /// Ends operations that are in progress with an error.
  void Close() { stream_.close(); }

  beast::tcp_stream& stream() { return stream_; }
  beast::flat_buffer& buffer() { return buffer_; }

 private:
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

/// True for errors that tell of a broken connection rather than of an ordered close.
bool IsReset(const error_code& error);

}  // namespace waxwingwing
