#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Connection to one caller: queues outgoing bytes without blocking and detects disconnection.
///
/// Owned through a `std::shared_ptr`, which pending operations keep alive.
class caller_channel : public std::enable_shared_from_this<caller_channel> {
 public:
  explicit caller_channel(asio::ip::tcp::socket socket);

  asio::ip::tcp::socket& socket() { return socket_; }
  boost::beast::flat_buffer& buffer() { return buffer_; }

  /// Sends `bytes` after all bytes that were queued before; does nothing once the caller is gone.
  void Send(std::string bytes);
  /// Waits until at most `limit` bytes are unsent; returns false when the caller has disconnected.
  awaitable<bool> WaitUntilSent(std::size_t limit);
  std::size_t unsent() const { return unsent_.size() + writing_.size(); }
  /// Number of queued bytes that the operating system has taken so far.
  std::uint64_t sent_from_queue() const { return sent_before_ + sent_of_write_; }

  /// Calls `on_unsent` whenever bytes of a call of `Send` remain unsent; it may abort the channel.
  void SetUnsentHook(std::function<void()> on_unsent) { on_unsent_ = std::move(on_unsent); }

  /// Calls `on_disconnect` once when the caller disconnects.
  void Watch(std::function<void()> on_disconnect);
  void StopWatching();
  /// Asks the operating system whether the caller is still connected; when it is not, the channel
  /// is gone from then on.
  bool CheckConnected();
  bool gone() const { return gone_; }

  void Close();
  /// Resets the connection, so that the caller cannot mistake the response for a complete one, and
  /// reports the disconnection to the watching request.
  void Abort();

 private:
  void StartWrite();
  void StartWaitingForDisconnect();
  void SetGone();
  /// Looks for bytes to read without taking them; an error other than `would_block` means that the
  /// caller has disconnected.
  error_code Peek();

  asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::string unsent_;
  std::string writing_;
  std::uint64_t sent_before_ = 0;
  std::uint64_t sent_of_write_ = 0;
  asio::steady_timer sent_signal_;
  std::function<void()> on_disconnect_;
  std::function<void()> on_unsent_;
  bool waiting_for_disconnect_ = false;
  bool gone_ = false;
};

}  // namespace waxwingwing
