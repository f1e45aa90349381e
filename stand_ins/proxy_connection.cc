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
constexpr time_point kNoDeadline = time_point::max();

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
  for (direction* flow : {&to_target_, &from_target_}) {
    asio::co_spawn(
        EventLoop(), [self, flow] { return self->Read(*flow); }, asio::detached);
    asio::co_spawn(
        EventLoop(), [self, flow] { return self->Write(*flow); }, asio::detached);
  }
  while (!to_target_.finished) co_await to_target_.changed.Wait(kNoDeadline);
  while (!from_target_.finished) co_await from_target_.changed.Wait(kNoDeadline);
  Close();
}

awaitable<void> proxy_connection::Read(direction& flow) {
  std::array<char, kReadBytes> buffer{};
  for (;;) {
    while (flow.queued_bytes >= kMaxQueuedBytes && !flow.finished) {
      co_await flow.changed.Wait(kNoDeadline);
    }
    error_code error;
    const std::size_t size = co_await flow.source.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (flow.finished) co_return;
    if (!error && ConsumeDropFault(flow)) Close();
    queued_chunk next{std::chrono::steady_clock::now() + faults_.delay,
                      std::string(buffer.data(), size)};
    flow.queue.push_back(std::move(next));
    flow.queued_bytes += size;
    flow.changed.Notify();
    if (error) co_return;
  }
}

awaitable<void> proxy_connection::Write(direction& flow) {
  error_code error;
  bool ended = false;
  while (!ended && !error && flow.sink.is_open()) {
    const time_point now = std::chrono::steady_clock::now();
    if (silent_ || flow.freeze) {
      co_await flow.changed.Wait(now + kFreezePollInterval);
    } else if (flow.queue.empty()) {
      co_await flow.changed.Wait(kNoDeadline);
    } else if (flow.queue.front().due > now) {
      co_await flow.changed.Wait(flow.queue.front().due);
    } else {
      const std::string data = std::move(flow.queue.front().data);
      flow.queue.pop_front();
      flow.queued_bytes -= data.size();
      flow.changed.Notify();
      ended = data.empty();
      if (ended) flow.sink.shutdown(tcp::socket::shutdown_send, error);
      co_await asio::async_write(flow.sink, asio::buffer(data),
                                 asio::redirect_error(asio::use_awaitable, error));
      if (!error) flow.bytes += data.size();
    }
  }
  flow.finished = true;
  flow.changed.Notify();
  if (!ended) Close();
}

bool proxy_connection::ConsumeDropFault(const direction& flow) {
  if (&flow != &from_target_ || faults_.drop_answers == 0) return false;
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
