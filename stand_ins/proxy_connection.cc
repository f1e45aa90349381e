#include "stand_ins/proxy_connection.h"

#include <algorithm>
#include <array>

namespace waxwingwing::stand_ins {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Bytes that a direction accepts beyond those it has forwarded; models the buffers of a network
// path.
constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;
// Poll interval at which a frozen direction checks whether the fault was cleared.
constexpr milliseconds kFreezePollInterval{5};
constexpr time_point kUntilChange = time_point::max();

}  // namespace

proxy_connection::proxy_connection(tcp::socket accepted, proxy_faults& faults)
    : faults_(faults),
      accepted_(std::move(accepted)),
      target_(accepted_.get_executor()),
      to_target_(accepted_, target_, faults_.freeze_to_target),
      from_target_(target_, accepted_, faults_.freeze_from_target) {}

awaitable<void> proxy_connection::Run(tcp::endpoint target) {
  const auto self = shared_from_this();
  error_code error;
  co_await target_.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    Close();
    co_return;
  }
  accepted_.set_option(tcp::no_delay(true), error);
  target_.set_option(tcp::no_delay(true), error);
  for (direction* way : {&to_target_, &from_target_}) {
    asio::co_spawn(
        EventLoop(), [self, way] { return self->Read(*way); }, asio::detached);
    asio::co_spawn(
        EventLoop(), [self, way] { return self->Write(*way); }, asio::detached);
  }
  while (!to_target_.finished) co_await to_target_.changed.Wait(kUntilChange);
  while (!from_target_.finished) co_await from_target_.changed.Wait(kUntilChange);
  Close();
}

awaitable<void> proxy_connection::Read(direction& way) {
  std::array<char, kReadBytes> buffer{};
  for (;;) {
    while (way.queued_bytes >= kMaxQueuedBytes && !way.finished) {
      co_await way.changed.Wait(kUntilChange);
    }
    error_code error;
    const std::size_t size = co_await way.source.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (way.finished) co_return;
    if (!error && TakesDrop(way)) Close();
    piece next{std::chrono::steady_clock::now() + faults_.delay, std::string(buffer.data(), size)};
    way.queue.push_back(std::move(next));
    way.queued_bytes += size;
    way.changed.Notify();
    if (error) co_return;
  }
}

awaitable<void> proxy_connection::Write(direction& way) {
  error_code error;
  bool ended = false;
  while (!ended && !error && way.sink.is_open()) {
    const time_point now = std::chrono::steady_clock::now();
    if (silent_ || way.freeze) {
      co_await way.changed.Wait(now + kFreezePollInterval);
    } else if (way.queue.empty()) {
      co_await way.changed.Wait(kUntilChange);
    } else if (way.queue.front().due > now) {
      co_await way.changed.Wait(way.queue.front().due);
    } else {
      const std::string data = std::move(way.queue.front().data);
      way.queue.pop_front();
      way.queued_bytes -= data.size();
      way.changed.Notify();
      ended = data.empty();
      if (ended) way.sink.shutdown(tcp::socket::shutdown_send, error);
      co_await asio::async_write(way.sink, asio::buffer(data),
                                 asio::redirect_error(asio::use_awaitable, error));
      if (!error) way.bytes += data.size();
    }
  }
  way.finished = true;
  way.changed.Notify();
  if (!ended) Close();
}

bool proxy_connection::TakesDrop(const direction& way) {
  if (&way != &from_target_ || faults_.drop_answers == 0) return false;
  --faults_.drop_answers;
  return true;
}

void proxy_connection::Close() {
  error_code ignored;
  accepted_.close(ignored);
  target_.close(ignored);
  to_target_.changed.Notify();
  from_target_.changed.Notify();
}

}  // namespace waxwingwing::stand_ins
