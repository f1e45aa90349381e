#include "peer/peer_connection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "waxwingwing/platform/ip_endpoint.h"

namespace waxwingwing {

namespace asio = boost::asio;
using boost::system::error_code;

peer_connection::peer_connection(asio::io_context& context, peer_address peer,
                                 std::shared_ptr<peer_session::shared_state> shared,
                                 std::uint64_t seed, message_handler on_message)
    : context_(context),
      peer_(std::move(peer)),
      shared_(std::move(shared)),
      random_(seed),
      on_message_(std::move(on_message)),
      wake_timer_(context),
      backoff_(shared_->settings.initial_backoff) {}

void peer_connection::Start() { asio::co_spawn(context_, Run(shared_from_this()), asio::detached); }

void peer_connection::Stop() {
  stopped_ = true;
  wake_timer_.cancel();
  const auto session = session_;
  if (session) session->Close(close_reason::kStopped);
}

peer_session* peer_connection::session() const {
  return session_ && session_->established() ? session_.get() : nullptr;
}

asio::awaitable<void> peer_connection::Run(std::shared_ptr<peer_connection> self) {
  const auto endpoint = ParseIpEndpoint(self->peer_.address);
  if (!endpoint) {
    self->shared_->counters.CountClosed(close_reason::kConnectFailed);
    co_return;
  }
  error_code error;
  while (!self->stopped_) {
    co_await self->Connect(self, *endpoint);
    // The end of the session cancels this wait; a wait that starts after the cancellation would not
    // be woken, so the loop checks for the end of the session before each wait.
    while (self->session_ && !self->stopped_) {
      self->wake_timer_.expires_at(time_point::max());
      co_await self->wake_timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    if (self->stopped_) break;
    self->wake_timer_.expires_after(self->NextBackoff());
    co_await self->wake_timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<void> peer_connection::Connect(std::shared_ptr<peer_connection> self,
                                               asio::ip::tcp::endpoint endpoint) {
  boost::beast::tcp_stream stream(self->context_);
  stream.expires_after(self->shared_->settings.connect_timeout);
  error_code error;
  co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (self->stopped_) co_return;
  if (error) {
    self->shared_->counters.CountClosed(close_reason::kConnectFailed);
    co_return;
  }
  self->StartSession(stream.release_socket());
}

void peer_connection::StartSession(asio::ip::tcp::socket socket) {
  const std::weak_ptr<peer_connection> weak = weak_from_this();
  peer_session::events callbacks;
  callbacks.on_hello = [weak](const hello_message& hello) -> std::optional<close_reason> {
    const auto self = weak.lock();
    return self ? self->CheckHello(hello) : close_reason::kStopped;
  };
  callbacks.on_message = [weak](const vm_id& vm, peer_message message) {
    const auto self = weak.lock();
    if (self && !self->stopped_) self->on_message_(vm, std::move(message));
  };
  callbacks.on_closed = [weak](close_reason reason) {
    if (const auto self = weak.lock()) self->OnSessionClosed(reason);
  };
  session_ = std::make_shared<peer_session>(std::move(socket), shared_, std::move(callbacks));
  session_->Start(true);
}

std::optional<close_reason> peer_connection::CheckHello(const hello_message& hello) {
  if (hello.vm != peer_.vm) return close_reason::kUnexpectedVm;
  backoff_ = shared_->settings.initial_backoff;
  return std::nullopt;
}

void peer_connection::OnSessionClosed(close_reason /*reason*/) {
  session_.reset();
  wake_timer_.cancel();
}

milliseconds peer_connection::NextBackoff() {
  const double factor = 0.5 + random_.Fraction();
  const auto wait = std::chrono::duration_cast<milliseconds>(backoff_ * factor);
  backoff_ = std::min(backoff_ * 2, shared_->settings.max_backoff);
  return wait;
}

}  // namespace waxwingwing
