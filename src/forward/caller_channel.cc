#include "forward/caller_channel.h"

#include <array>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace waxwingwing {

using asio::ip::tcp;

caller_channel::caller_channel(tcp::socket socket)
    : socket_(std::move(socket)), sent_signal_(socket_.get_executor()) {
  sent_signal_.expires_at(asio::steady_timer::time_point::max());
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void caller_channel::Send(std::string bytes) {
  if (gone_ || bytes.empty()) return;
  std::size_t sent = 0;
  if (unsent() == 0) {
    error_code error;
    sent = socket_.write_some(asio::buffer(bytes), error);
    if (error && error != asio::error::would_block) return SetGone();
    if (sent == bytes.size()) return;
  }
  // Only the rest is kept: `bytes` may be a large answer of which the kernel has taken the most.
  unsent_.append(bytes, sent);
  bytes = {};
  if (writing_.empty()) StartWrite();
  if (on_unsent_) on_unsent_();
}

void caller_channel::StartWrite() {
  writing_.swap(unsent_);
  auto self = shared_from_this();
  const auto record_progress = [self](const error_code& error, std::size_t sent) {
    self->sent_of_write_ = sent;
    return asio::transfer_all()(error, sent);
  };
  const auto finish = [self](error_code error, std::size_t sent) {
    self->sent_before_ += sent;
    self->sent_of_write_ = 0;
    // Frees the memory, which a kept connection would hold otherwise.
    self->writing_ = std::string();
    if (error) self->SetGone();
    if (!self->gone_ && !self->unsent_.empty()) self->StartWrite();
    self->sent_signal_.cancel();
  };
  asio::async_write(socket_, asio::buffer(writing_), record_progress, finish);
}

awaitable<bool> caller_channel::WaitUntilSent(std::size_t limit) {
  while (!gone_ && unsent() > limit) {
    error_code ignored;
    co_await sent_signal_.async_wait(StoreError(ignored));
  }
  co_return !gone_;
}

void caller_channel::Watch(std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
  // With bytes of a next request already buffered, the end of the connection cannot be detected.
  if (!waiting_for_disconnect_ && buffer_.size() == 0) StartWaitingForDisconnect();
}

void caller_channel::StartWaitingForDisconnect() {
  waiting_for_disconnect_ = true;
  auto self = shared_from_this();
  socket_.async_wait(tcp::socket::wait_read, [self](error_code error) {
    self->waiting_for_disconnect_ = false;
    if (error || !self->on_disconnect_) return;
    const error_code failed = self->Peek();
    if (failed == asio::error::would_block) return self->StartWaitingForDisconnect();
    if (failed) self->SetGone();
  });
}

bool caller_channel::CheckConnected() {
  // With bytes of a next request already buffered, the end of the connection cannot be detected.
  if (gone_ || buffer_.size() > 0) return !gone_;
  const error_code failed = Peek();
  if (failed && failed != asio::error::would_block) SetGone();
  return !gone_;
}

error_code caller_channel::Peek() {
  std::array<char, 1> byte{};
  error_code error;
  socket_.receive(asio::buffer(byte), tcp::socket::message_peek, error);
  return error;
}

void caller_channel::StopWatching() { on_disconnect_ = nullptr; }

void caller_channel::SetGone() {
  if (gone_) return;
  gone_ = true;
  unsent_ = std::string();
  sent_signal_.cancel();
  const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
  if (on_disconnect) on_disconnect();
}

void caller_channel::Close() {
  gone_ = true;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  sent_signal_.cancel();
}

void caller_channel::Abort() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  SetGone();
  socket_.close(ignored);
}

}  // namespace waxwingwing
