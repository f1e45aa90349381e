#include "forward/request_reader.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <stdexcept>
#include <string_view>

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

/// Bytes that are read at once.
constexpr std::size_t kHeadReadSize = 4096;
constexpr std::size_t kBodyReadSize = std::size_t{16} * 1024;
/// Bytes, in addition to the limit for a request's head, that may be received and not yet parsed.
/// The line of a chunk's size and the trailer, for which the parser has no limit, must fit.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{16} * 1024;
/// Memory of a parsed field beside its name and value: Beast's node of a list and a tree, the
/// separators that it stores, and what the allocator adds.
constexpr std::size_t kFieldBytes = 96;
/// Memory of a head's fields from which others free theirs first.
constexpr std::size_t kLargeFieldBytes = std::size_t{32} * 1024;
constexpr std::string_view kEndOfHead = "\r\n\r\n";

/// Memory that the fields of an unparsed head will take, by its lines. The parser takes them only
/// when the head is whole.
std::size_t FieldBytesOf(const asio::const_buffer& received) {
  std::string_view head(static_cast<const char*>(received.data()), received.size());
  head = head.substr(0, head.find(kEndOfHead));
  const auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
  return lines * kFieldBytes + head.size();
}

}  // namespace

request_reader::request_reader(caller_channel& channel, ingress_account& account,
                               const runtime_clock& clock, const caller_limits& limits)
    : channel_(channel),
      account_(account),
      clock_(clock),
      // The limit for a head may have become lower since the bytes in the buffer were read.
      max_buffer_(std::max(channel.buffer().size(), limits.max_header.get() + kMaxReadAheadBytes)) {
  channel_.buffer().max_size(max_buffer_);
  parser_.header_limit(static_cast<std::uint32_t>(limits.max_header.get()));
  parser_.body_limit(limits.max_body.get());
}

awaitable<error_code> request_reader::ReadHead() {
  for (;;) {
    const error_code error = Parse();
    if (error && error != http::error::need_more) co_return error;
    if (parser_.is_header_done()) {
      HoldFields();
      co_return account_.ended() ? error_code(asio::error::operation_aborted) : error_code{};
    }
    const error_code failed = co_await Receive();
    if (failed) co_return failed;
    co_await AwaitRoom();
    if (account_.ended()) co_return asio::error::operation_aborted;
  }
}

awaitable<error_code> request_reader::ReadBody() {
  parser_.eager(true);
  while (!parser_.is_done()) {
    const error_code error = Parse();
    if (error && error != http::error::need_more) co_return error;
    if (parser_.is_done()) break;
    const error_code failed = co_await Receive();
    if (failed) co_return failed;
  }
  // A string that grows has up to twice the capacity that it needs.
  parser_.get().body().shrink_to_fit();
  HoldFields();
  co_return error_code{};
}

error_code request_reader::Parse() {
  auto& buffer = channel_.buffer();
  if (buffer.size() == 0) return http::error::need_more;
  error_code error;
  try {
    buffer.consume(parser_.put(buffer.data(), error));
  } catch (const std::length_error&) {
    // Beast holds no field of more than 64 kB and has no error code for it.
    return http::error::header_limit;
  }
  return error;
}

awaitable<error_code> request_reader::Receive() {
  auto& buffer = channel_.buffer();
  if (buffer.size() >= max_buffer_) co_return http::error::header_limit;
  const std::size_t size = parser_.is_header_done() ? kBodyReadSize : kHeadReadSize;
  const auto space = buffer.prepare(std::min(size, max_buffer_ - buffer.size()));
  error_code error;
  const std::size_t received = co_await channel_.socket().async_read_some(space, StoreError(error));
  buffer.commit(received);
  if (!parser_.is_header_done()) field_bytes_ = FieldBytesOf(buffer.data());
  account_.Hold(HeldBytes(), clock_.Now());
  if (account_.ended()) co_return asio::error::operation_aborted;
  co_return error;
}

awaitable<void> request_reader::AwaitRoom() {
  if (field_bytes_ < kLargeFieldBytes) co_return;
  co_await asio::post(channel_.socket().get_executor(), asio::use_awaitable);
}

void request_reader::HoldFields() {
  field_bytes_ = 0;
  for (const auto& field : parser_.get()) {
    field_bytes_ += kFieldBytes + field.name_string().size() + field.value().size();
  }
  account_.Hold(HeldBytes(), clock_.Now());
}

std::size_t request_reader::HeldBytes() {
  return channel_.buffer().capacity() + parser_.get().body().capacity() + field_bytes_;
}

}  // namespace waxwingwing
