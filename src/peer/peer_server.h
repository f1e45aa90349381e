#pragma once

#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "peer/peer_session.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Accepts connections of other entry VMs. Refuses every connection whose first frame is not a
/// valid hello of this cluster. Create with `make_shared`.
class peer_server : public std::enable_shared_from_this<peer_server> {
 public:
  using message_handler = std::function<void(const vm_id&, peer_message)>;

  peer_server(boost::asio::io_context& context, std::shared_ptr<peer_session::shared_state> shared,
              message_handler on_message);
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// Listens on `ip:port` and gives the address in use.
  result<std::string> Listen(const std::string& address);
  void Stop();
  /// The established session of a VM, or null.
  peer_session* SessionOf(const vm_id& vm) const;

 private:
  using session_pointer = std::shared_ptr<peer_session>;

  boost::asio::awaitable<void> Accept(std::shared_ptr<peer_server> self);
  void StartSession(boost::asio::ip::tcp::socket socket);
  std::optional<close_reason> CheckHello(const session_pointer& session,
                                         const hello_message& hello);
  void RemoveSession(const session_pointer& session);
  /// Closes the session that has received nothing for the longest time.
  void CloseQuietest();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::shared_ptr<peer_session::shared_state> shared_;
  message_handler on_message_;
  std::set<session_pointer> sessions_;
  /// The newest session of each VM.
  std::map<vm_id, session_pointer> sessions_by_vm_;
  bool stopped_ = false;
};

}  // namespace waxwingwing
