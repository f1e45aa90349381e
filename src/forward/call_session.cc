#include "forward/call_session.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "forward/http_text.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

/// Buffer size, in bytes, of the read that waits for a request.
constexpr std::size_t kFirstReadSize = 4096;
/// Bytes, in addition to the limit for a request's head, that are read in advance. The line of a
/// chunk's size and the trailer, for which the parser has no limit, must fit.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
/// Time-out for receiving a whole request body.
constexpr milliseconds kBodyTimeout{10000};

unsigned StatusOf(const error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  // The read was cancelled when its time limit had passed.
  if (error == asio::error::operation_aborted) return 408;
  return 400;
}

bool IsMalformed(const error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

call_session::call_session(forward_core& core, asio::ip::tcp::socket socket)
    : core_(core), channel_(std::make_shared<caller_channel>(std::move(socket))) {}

caller_limits call_session::Limits() const {
  return core_.configuration ? core_.configuration->limits : caller_limits{};
}

awaitable<void> call_session::Run() {
  bool open = true;
  while (open) {
    const bool arrived = co_await WaitForRequest();
    if (!arrived) break;
    auto request = co_await ReadRequest();
    if (!request) break;
    expires_at_.reset();
    serves_call_ = true;
    forward_call call(core_, *channel_, std::move(*request));
    co_await call.Run();
    serves_call_ = false;
    open = call.keeps_connection();
  }
  co_await channel_->WaitUntilSent(0);
  channel_->Close();
}

awaitable<bool> call_session::WaitForRequest() {
  if (channel_->buffer().size() > 0) co_return true;
  idle_ = true;
  const scope_guard busy([this] { idle_ = false; });
  expires_at_ = core_.Now() + Limits().idle_timeout;
  error_code error;
  do {
    const auto space = channel_->buffer().prepare(kFirstReadSize);
    const std::size_t size = co_await channel_->socket().async_read_some(space, StoreError(error));
    channel_->buffer().commit(size);
    // A wait that was cancelled must not discard a request that has arrived meanwhile.
  } while (error == asio::error::operation_aborted && HasUnreadBytes());
  co_return !error;
}

bool call_session::HasUnreadBytes() const {
  error_code error;
  return channel_->socket().available(error) > 0;
}

awaitable<std::optional<caller_request>> call_session::ReadRequest() {
  const caller_limits limits = Limits();
  expires_at_ = core_.Now() + limits.header_timeout;
  auto& buffer = channel_->buffer();
  // The limit for a head may have become lower since the bytes in the buffer were read.
  buffer.max_size(std::max(buffer.size(), limits.max_header.get() + kMaxReadAheadBytes));
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header.get()));
  parser.body_limit(limits.max_body.get());
  error_code error;
  co_await http::async_read_header(channel_->socket(), buffer, parser, StoreError(error));
  if (!error && !parser.is_done()) {
    expires_at_ = core_.Now() + kBodyTimeout;
    if (parser.get()[http::field::expect] == "100-continue") {
      channel_->Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    co_await http::async_read(channel_->socket(), buffer, parser, StoreError(error));
  }
  if (error) {
    if (IsMalformed(error) || error == asio::error::operation_aborted) RefuseMalformed(error);
    co_return std::nullopt;
  }
  auto message = parser.release();
  caller_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  request.fields = std::move(static_cast<http_fields&>(message));
  co_return request;
}

void call_session::RefuseMalformed(const error_code& error) {
  const unsigned status = StatusOf(error);
  core_.metrics.Counter("waxwingwing_refusals_total", {{"reason", "malformed_request"}})
      .Increment();
  core_.log.Write("request_malformed", {{"status", status}, {"reason", error.message()}});
  const auto name = http::obsolete_reason(static_cast<http::status>(status));
  channel_->Send(WriteResponseHead(status, {name.data(), name.size()}, {}, 0, false));
}

void call_session::CloseIfExpired(time_point now) {
  if (expires_at_ && now >= *expires_at_) CancelRead();
}

void call_session::CloseIfIdle() {
  if (idle_) CancelRead();
}

void call_session::CancelRead() {
  // Closing the socket here would lose a request that was read but has not been processed yet;
  // cancelling has no effect on a read that has taken bytes.
  error_code ignored;
  channel_->socket().cancel(ignored);
}

}  // namespace waxwingwing
