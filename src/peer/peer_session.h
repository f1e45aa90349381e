#pragma once

#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peer/peer_counters.h"
#include "peer/send_queue.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ingress_budget.h"
#include "waxwingwing/peer/frame_codec.h"
#include "waxwingwing/peer/peer_network.h"

namespace waxwingwing {

/// One TCP connection between two entry VMs, in either direction.
///
/// Both sides send `hello` first. Received frames other than hello are acknowledged by any frame
/// within half the silence limit, at the latest by another hello, so that a side that sent
/// something and receives nothing can tell a silent connection from an idle one. Create with
/// `make_shared`; use from one `io_context` thread.
class peer_session : public std::enable_shared_from_this<peer_session> {
 public:
  struct events {
    /// Checks the first hello; returns the reason to close the connection, if there is one.
    std::function<std::optional<close_reason>(const hello_message&)> on_hello;
    std::function<void(const vm_id&, peer_message)> on_message;
    /// Called once, when the session ends.
    std::function<void(close_reason)> on_closed;
  };

  /// Settings and callbacks shared by all sessions of a network; must outlive its sessions'
  /// callbacks.
  struct shared_state {
    peer_settings settings;
    hello_message own_hello;
    peer_counters counters;
    std::shared_ptr<ingress_budget> unfinished_frames;
  };

  peer_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<shared_state> shared,
               events callbacks);
  peer_session(const peer_session&) = delete;
  peer_session& operator=(const peer_session&) = delete;
  ~peer_session();

  /// Starts reading. The side that connected sends its hello at once.
  void Start(bool is_outgoing);
  /// Queues a message; false when it cannot be encoded or the session is not established.
  bool Send(const peer_message& message);
  /// Queues an encoded message; false when the session is not established.
  bool SendFrame(send_queue::shared_frame frame, send_queue::frame_kind kind);
  void Close(close_reason reason);

  bool established() const { return peer_.has_value() && !closed_; }
  const std::optional<hello_message>& peer() const { return peer_; }
  /// When the last frame was received, or the session was created.
  time_point last_received() const { return last_received_; }

 private:
  boost::asio::awaitable<void> ReadFrames(std::shared_ptr<peer_session> self);
  boost::asio::awaitable<void> MonitorTimeouts(std::shared_ptr<peer_session> self);
  /// Receives the `size` bytes that follow a frame's length; returns whether they have arrived.
  boost::asio::awaitable<bool> ReadBody(std::string& body, std::size_t size);
  void Handle(std::string_view body);
  void HandleHello(const hello_message& hello);
  void CheckTimeouts(time_point now);
  void Enqueue(send_queue::shared_frame frame, send_queue::frame_kind kind);
  void SendHello();
  void WriteNext();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<shared_state> shared_;
  std::shared_ptr<const events> callbacks_;
  send_queue queue_;
  /// The frames that are being written; empty when none is.
  std::vector<send_queue::shared_frame> writing_;
  std::optional<hello_message> peer_;
  /// The bytes of a frame that has not arrived whole.
  ingress_account unfinished_frame_;
  time_point started_at_;
  time_point last_received_;
  time_point last_sent_;
  /// When the first frame after the last received one was sent.
  std::optional<time_point> unanswered_since_;
  bool acknowledgement_due_ = false;
  bool is_outgoing_ = false;
  bool closed_ = false;
};

}  // namespace waxwingwing
