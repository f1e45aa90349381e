#include "peer/peer_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "waxwingwing/platform/ip_endpoint.h"

namespace waxwingwing {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// Keeps a process that has run out of file descriptors from calling accept in a busy loop.
constexpr milliseconds kAcceptRetryDelay{100};

error_code OpenAcceptor(tcp::acceptor& acceptor, const tcp::endpoint& endpoint) {
  error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  return error;
}

std::string TextOf(const tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

}  // namespace

peer_server::peer_server(asio::io_context& context,
                         std::shared_ptr<peer_session::shared_state> shared,
                         message_handler on_message)
    : acceptor_(context),
      accept_retry_timer_(context),
      shared_(std::move(shared)),
      on_message_(std::move(on_message)) {}

result<std::string> peer_server::Listen(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint) return result<std::string>::Failure(endpoint.reason());
  const error_code failed = OpenAcceptor(acceptor_, *endpoint);
  if (failed) return result<std::string>::Failure(address + ": " + failed.message());
  error_code error;
  const tcp::endpoint bound_endpoint = acceptor_.local_endpoint(error);
  if (error) return result<std::string>::Failure(address + ": " + error.message());
  asio::co_spawn(acceptor_.get_executor(), Accept(shared_from_this()), asio::detached);
  return TextOf(bound_endpoint);
}

void peer_server::Stop() {
  stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  sessions_by_vm_.clear();
  for (const session_pointer& session : sessions) session->Close(close_reason::kStopped);
}

peer_session* peer_server::SessionOf(const vm_id& vm) const {
  const auto found = sessions_by_vm_.find(vm);
  if (found == sessions_by_vm_.end() || !found->second->established()) return nullptr;
  return found->second.get();
}

asio::awaitable<void> peer_server::Accept(std::shared_ptr<peer_server> self) {
  error_code error;
  while (!self->stopped_) {
    tcp::socket socket =
        co_await self->acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (self->stopped_) co_return;
    if (!error) {
      self->StartSession(std::move(socket));
      continue;
    }
    self->accept_retry_timer_.expires_after(kAcceptRetryDelay);
    co_await self->accept_retry_timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

void peer_server::CloseQuietest() {
  const auto quietest =
      std::min_element(sessions_.begin(), sessions_.end(), [](const auto& left, const auto& right) {
        return left->last_received() < right->last_received();
      });
  if (quietest == sessions_.end()) return;
  // Closing removes the session from the set.
  const session_pointer session = (*quietest)->shared_from_this();
  session->Close(close_reason::kTooMany);
}

void peer_server::StartSession(tcp::socket socket) {
  if (sessions_.size() >= shared_->settings.max_accepted) CloseQuietest();
  const std::weak_ptr<peer_server> weak = weak_from_this();
  const auto weak_session = std::make_shared<std::weak_ptr<peer_session>>();
  peer_session::events callbacks;
  callbacks.on_hello = [weak,
                        weak_session](const hello_message& hello) -> std::optional<close_reason> {
    const auto self = weak.lock();
    return self ? self->CheckHello(weak_session->lock(), hello) : close_reason::kStopped;
  };
  callbacks.on_message = [weak](const vm_id& vm, peer_message message) {
    const auto self = weak.lock();
    if (self && !self->stopped_) self->on_message_(vm, std::move(message));
  };
  callbacks.on_closed = [weak, weak_session](close_reason /*reason*/) {
    if (const auto self = weak.lock()) self->RemoveSession(weak_session->lock());
  };
  const auto session =
      std::make_shared<peer_session>(std::move(socket), shared_, std::move(callbacks));
  *weak_session = session;
  sessions_.insert(session);
  session->Start(false);
}

std::optional<close_reason> peer_server::CheckHello(const session_pointer& session,
                                                    const hello_message& hello) {
  // A connection with this VM's own id means a wrong VM list or a second process with that id.
  if (hello.vm == shared_->own_hello.vm) return close_reason::kUnexpectedVm;
  session_pointer& current = sessions_by_vm_[hello.vm];
  const session_pointer replaced = std::exchange(current, session);
  // The peer reconnects only when its previous connection ended or became silent.
  if (replaced) replaced->Close(close_reason::kReplaced);
  return std::nullopt;
}

void peer_server::RemoveSession(const session_pointer& session) {
  if (!session) return;
  sessions_.erase(session);
  std::erase_if(sessions_by_vm_, [&](const auto& item) { return item.second == session; });
}

}  // namespace waxwingwing
