#include "gateway/caller_connection.h"

#include <array>
#include <cstddef>

namespace waxwingwing {
namespace {

// Bytes of the first read of a request; the parser reads more when it needs them.
constexpr std::size_t kFirstReadSize = 4096;

}  // namespace

caller_connection::caller_connection(tcp::socket socket, byte_count max_header)
    : stream_(std::move(socket)), buffer_(max_header.get() + kFirstReadSize) {}

awaitable<bool> caller_connection::WaitForRequest(milliseconds idle_timeout) {
  if (buffer_.size() > 0) co_return true;
  // Frees the buffer while the connection is idle.
  buffer_.shrink_to_fit();
  stream_.expires_after(idle_timeout);
  idle_ = true;
  error_code error;
  const auto space = buffer_.prepare(kFirstReadSize);
  const std::size_t size = co_await stream_.async_read_some(space, StoreError(error));
  idle_ = false;
  if (error) co_return false;
  buffer_.commit(size);
  co_return true;
}

awaitable<bool> caller_connection::WriteAnswer(const whole_answer& answer,
                                               std::string_view request_id, bool keep_alive,
                                               milliseconds timeout) {
  http::response<http::string_body> response;
  response.version(11);
  response.result(answer.status);
  response.set(http::field::content_type, answer.content_type);
  for (const header_field& field : answer.headers) response.set(field.name, field.value);
  response.set("X-Request-Id", request_id);
  response.keep_alive(keep_alive);
  response.body() = answer.body;
  response.prepare_payload();
  stream_.expires_after(timeout);
  error_code error;
  co_await http::async_write(stream_, response, StoreError(error));
  if (error) SetGone();
  co_return !error;
}

void caller_connection::Watch() {
  watched_ = true;
  // Pipelined bytes of the next request are already buffered, so readability does not show a close.
  if (buffer_.size() > 0 || waiting_) return;
  StartWaiting();
}

void caller_connection::StartWaiting() {
  waiting_ = true;
  auto self = shared_from_this();
  stream_.socket().async_wait(tcp::socket::wait_read, [self](error_code error) {
    self->waiting_ = false;
    if (error || !self->watched_) return;
    error_code failed;
    // Readable with 0 bytes available: the caller closed or reset the connection.
    const std::size_t available = self->stream_.socket().available(failed);
    if (failed || available == 0) self->SetGone();
  });
}

void caller_connection::StopWatching() {
  watched_ = false;
  interrupt_ = nullptr;
}

void caller_connection::SetGone() {
  if (gone_) return;
  gone_ = true;
  const auto interrupt = std::move(interrupt_);
  interrupt_ = nullptr;
  if (interrupt) interrupt();
}

void caller_connection::CloseIfIdle() {
  if (!idle_) return;
  error_code error;
  if (stream_.socket().available(error) > 0) return;
  Close();
}

awaitable<void> caller_connection::Linger(milliseconds timeout) {
  error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  stream_.expires_after(timeout);
  std::array<char, kFirstReadSize> scratch;
  while (!error) {
    const auto space = asio::buffer(scratch);
    co_await stream_.async_read_some(space, StoreError(error));
  }
}

void caller_connection::Close() {
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream_.close();
}

}  // namespace waxwingwing
