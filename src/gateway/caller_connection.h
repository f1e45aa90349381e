#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/http_types.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Connection of a caller: reads requests, writes answers and detects when the caller disconnects.
///
/// Not thread-safe: used on one request thread.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(tcp::socket socket, byte_count max_header);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  beast::tcp_stream& stream() { return stream_; }
  beast::flat_buffer& buffer() { return buffer_; }

  /// Waits for the first byte of a request. Returns false when the connection ended or the idle
  /// time-out passed.
  awaitable<bool> WaitForRequest(milliseconds idle_timeout);
  /// Writes a complete answer. Returns false when the caller has disconnected.
  awaitable<bool> WriteAnswer(const whole_answer& answer, std::string_view request_id,
                              bool keep_alive, milliseconds timeout);

  /// Starts to detect that the caller closes the connection: `gone()` then returns true, and the
  /// function passed to `SetInterrupt` is called once.
  void Watch();
  void SetInterrupt(std::function<void()> interrupt) { interrupt_ = std::move(interrupt); }
  void StopWatching();
  /// Marks the caller as disconnected, for example after a failed write.
  void SetGone();
  bool gone() const { return gone_; }

  /// Closes the connection if it is idle, that is, no byte of a next request has arrived.
  void CloseIfIdle();
  void Close();
  /// Shuts down sending after an answer to a request that was not read completely, and discards
  /// input until `timeout`: closing with unread bytes would reset the connection and lose the
  /// answer.
  awaitable<void> Linger(milliseconds timeout);

 private:
  void StartWaiting();

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::function<void()> interrupt_;
  bool idle_ = false;
  bool watched_ = false;
  bool waiting_ = false;
  bool gone_ = false;
};

}  // namespace waxwingwing
