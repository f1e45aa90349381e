#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/http_types.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A caller's connection: reads requests, writes answers and notices when the caller leaves.
///
/// Used on one request thread.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(tcp::socket socket, byte_count max_header);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  beast::tcp_stream& stream() { return stream_; }
  beast::flat_buffer& buffer() { return buffer_; }

  /// Waits for the first byte of a request. False when the connection ended or was idle too long.
  awaitable<bool> WaitForRequest(milliseconds idle_timeout);
  /// Writes a whole answer. False when the caller is gone.
  awaitable<bool> WriteAnswer(const whole_answer& answer, std::string_view request_id,
                              bool keep_alive, milliseconds timeout);

  /// From now on `gone()` tells whether the caller closed the connection; `interrupt` is called
  /// once when it does.
  void Watch();
  void SetInterrupt(std::function<void()> interrupt) { interrupt_ = std::move(interrupt); }
  void StopWatching();
  /// Marks the caller as gone, for example after a failed write.
  void SetGone();
  bool gone() const { return gone_; }

  /// Closes the connection when it waits for a request of which nothing has arrived.
  void CloseIfIdle();
  void Close();
  /// Ends the connection after an answer to a request that was not read to its end. Reads on for
  /// a while, since closing with unread bytes would reset the connection and lose the answer.
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
