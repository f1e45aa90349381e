#pragma once

#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "peer/peer_session.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/peer/peer_network.h"

namespace waxwingwing {

/// Maintains an outgoing connection to one peer: connects, and reconnects with jittered backoff
/// when the session ends. Create with `make_shared`, then call `Start`.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
 public:
  using message_handler = std::function<void(const vm_id&, peer_message)>;

  peer_connection(boost::asio::io_context& context, peer_address peer,
                  std::shared_ptr<peer_session::shared_state> shared, std::uint64_t seed,
                  message_handler on_message);
  peer_connection(const peer_connection&) = delete;
  peer_connection& operator=(const peer_connection&) = delete;

  void Start();
  void Stop();

  const peer_address& address() const { return peer_; }
  /// The established session, or null.
  peer_session* session() const;

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<peer_connection> self);
  boost::asio::awaitable<void> Connect(std::shared_ptr<peer_connection> self,
                                       boost::asio::ip::tcp::endpoint endpoint);
  void StartSession(boost::asio::ip::tcp::socket socket);
  std::optional<close_reason> CheckHello(const hello_message& hello);
  void OnSessionClosed(close_reason reason);
  milliseconds NextBackoff();

  boost::asio::io_context& context_;
  peer_address peer_;
  std::shared_ptr<peer_session::shared_state> shared_;
  random_source random_;
  message_handler on_message_;
  std::shared_ptr<peer_session> session_;
  /// Cancelled when the session ends or the connection stops.
  boost::asio::steady_timer wake_timer_;
  milliseconds backoff_;
  bool stopped_ = false;
};

}  // namespace waxwingwing
