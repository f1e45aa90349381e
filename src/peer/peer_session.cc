#include "peer/peer_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace waxwingwing {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Limits the memory that a peer can make the process reserve before its hello is accepted.
constexpr std::size_t kMaxHelloBytes = 4096;
/// Bytes of a frame that are received, and for which memory is reserved, at a time.
constexpr std::size_t kReadSize = std::size_t{16} * 1024;
constexpr int kChecksPerSilenceLimit = 4;
// Frames that are written by one system call.
constexpr std::size_t kMaxFramesPerWrite = 16;

}  // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, std::shared_ptr<shared_state> shared,
                           events callbacks)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      shared_(std::move(shared)),
      callbacks_(std::make_shared<const events>(std::move(callbacks))),
      unfinished_frame_(shared_->unfinished_frames,
                        [this](std::size_t /*bytes*/) { Close(close_reason::kUnfinishedFrame); }),
      started_at_(std::chrono::steady_clock::now()),
      last_received_(started_at_),
      last_sent_(started_at_) {}

peer_session::~peer_session() = default;

void peer_session::Start(bool is_outgoing) {
  is_outgoing_ = is_outgoing;
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (is_outgoing) SendHello();
  asio::co_spawn(socket_.get_executor(), ReadFrames(shared_from_this()), asio::detached);
  asio::co_spawn(socket_.get_executor(), MonitorTimeouts(shared_from_this()), asio::detached);
}

bool peer_session::Send(const peer_message& message) {
  if (!established()) return false;
  auto frame = EncodeFrame(message);
  if (!frame) {
    shared_->counters.CountUnsent("too_large");
    return false;
  }
  const bool status = std::holds_alternative<node_status_message>(message);
  return SendFrame(std::make_shared<const std::string>(*std::move(frame)),
                   status ? send_queue::frame_kind::kStatus : send_queue::frame_kind::kOther);
}

bool peer_session::SendFrame(send_queue::shared_frame frame, send_queue::frame_kind kind) {
  if (!established()) return false;
  if (!unanswered_since_) unanswered_since_ = std::chrono::steady_clock::now();
  Enqueue(std::move(frame), kind);
  return true;
}

void peer_session::SendHello() {
  auto frame = EncodeFrame(shared_->own_hello);
  if (!frame) return;
  Enqueue(std::make_shared<const std::string>(*std::move(frame)), send_queue::frame_kind::kOther);
}

void peer_session::Enqueue(send_queue::shared_frame frame, send_queue::frame_kind kind) {
  const auto dropped = queue_.Push(std::move(frame), kind);
  if (dropped) shared_->counters.CountDropped(*dropped == send_queue::frame_kind::kStatus);
  last_sent_ = std::chrono::steady_clock::now();
  acknowledgement_due_ = false;
  WriteNext();
}

void peer_session::WriteNext() {
  if (closed_ || !writing_.empty() || queue_.empty()) return;
  std::vector<asio::const_buffer> buffers;
  while (!queue_.empty() && writing_.size() < kMaxFramesPerWrite) {
    writing_.push_back(queue_.Pop());
    buffers.push_back(asio::buffer(*writing_.back()));
  }
  const auto written = [self = shared_from_this()](const error_code& error, std::size_t bytes) {
    self->shared_->counters.bytes_sent.Increment(bytes);
    if (error) return self->Close(close_reason::kEnded);
    self->shared_->counters.frames_sent.Increment(self->writing_.size());
    self->writing_.clear();
    self->WriteNext();
  };
  asio::async_write(socket_, buffers, written);
}

asio::awaitable<void> peer_session::ReadFrames(std::shared_ptr<peer_session> self) {
  std::array<unsigned char, kFrameLengthBytes> prefix{};
  std::string body;
  error_code error;
  while (!self->closed_) {
    const std::size_t prefix_bytes = co_await asio::async_read(
        self->socket_, asio::buffer(prefix), asio::redirect_error(asio::use_awaitable, error));
    self->shared_->counters.bytes_received.Increment(prefix_bytes);
    if (error) break;
    const std::size_t limit = self->peer_ ? kMaxFrameBytes : kMaxHelloBytes;
    const frame_length length = DecodeLength(prefix, limit);
    if (length.error != frame_error::kNone) {
      self->Close(ReasonOf(length.error));
      break;
    }
    const bool arrived = co_await self->ReadBody(body, length.bytes);
    if (!arrived) break;
    self->Handle(body);
    // A large frame must not keep its memory until the next one.
    body = std::string();
  }
  self->Close(close_reason::kEnded);
}

asio::awaitable<bool> peer_session::ReadBody(std::string& body, std::size_t size) {
  error_code error;
  unfinished_frame_.BeginWait(std::chrono::steady_clock::now());
  while (body.size() < size) {
    const std::size_t received = body.size();
    body.resize(received + std::min(kReadSize, size - received));
    unfinished_frame_.Hold(body.capacity(), std::chrono::steady_clock::now());
    if (closed_) co_return false;
    const auto space = asio::buffer(body.data() + received, body.size() - received);
    const std::size_t bytes =
        co_await asio::async_read(socket_, space, asio::redirect_error(asio::use_awaitable, error));
    shared_->counters.bytes_received.Increment(bytes);
    if (error) co_return false;
  }
  unfinished_frame_.EndWait();
  unfinished_frame_.Hold(0, std::chrono::steady_clock::now());
  co_return true;
}

void peer_session::Handle(std::string_view body) {
  if (closed_) return;
  decoded_frame decoded = DecodeBody(body);
  if (!decoded.message) return Close(ReasonOf(decoded.error));
  shared_->counters.frames_received.Increment();
  last_received_ = std::chrono::steady_clock::now();
  unanswered_since_.reset();
  const auto* hello = std::get_if<hello_message>(&*decoded.message);
  if (hello != nullptr) return HandleHello(*hello);
  if (!peer_) return Close(close_reason::kNoHelloFirst);
  acknowledgement_due_ = true;
  const auto callbacks = callbacks_;
  callbacks->on_message(peer_->vm, *std::move(decoded.message));
}

void peer_session::HandleHello(const hello_message& hello) {
  if (peer_) {
    if (hello.vm != peer_->vm) Close(close_reason::kUnexpectedVm);
    return;
  }
  if (hello.cluster != shared_->own_hello.cluster) return Close(close_reason::kOtherCluster);
  const auto callbacks = callbacks_;
  const auto refused = callbacks->on_hello(hello);
  if (closed_) return;
  if (refused) return Close(*refused);
  peer_ = hello;
  shared_->counters.established.Add(1);
  if (!is_outgoing_) SendHello();
}

asio::awaitable<void> peer_session::MonitorTimeouts(std::shared_ptr<peer_session> self) {
  const auto step = self->shared_->settings.silence_limit / kChecksPerSilenceLimit;
  error_code error;
  while (!self->closed_) {
    self->timer_.expires_after(step);
    co_await self->timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (!self->closed_) self->CheckTimeouts(std::chrono::steady_clock::now());
  }
}

void peer_session::CheckTimeouts(time_point now) {
  const milliseconds limit = shared_->settings.silence_limit;
  if (!peer_ && now - started_at_ > limit) return Close(close_reason::kHelloTimeout);
  if (unanswered_since_ && now - *unanswered_since_ > limit) return Close(close_reason::kSilent);
  if (acknowledgement_due_ && now - last_sent_ > limit / 2) SendHello();
}

void peer_session::Close(close_reason reason) {
  if (closed_) return;
  closed_ = true;
  if (peer_) shared_->counters.established.Add(-1);
  shared_->counters.CountClosed(reason);
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  const auto callbacks = callbacks_;
  callbacks->on_closed(reason);
  // Releases the objects that the callbacks hold; a callback that is running keeps its own
  // reference.
  callbacks_ = std::make_shared<const events>();
}

}  // namespace waxwingwing
