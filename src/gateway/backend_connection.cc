#include "gateway/backend_connection.h"

#include <charconv>
#include <cstdint>

namespace waxwingwing {
namespace {

// Bytes; holds the response header and what is read ahead of the body.
constexpr std::size_t kReadBufferSize = kMaxAnswerHeadBytes;

tcp::endpoint ParseAddress(const std::string& address, error_code& error) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  error = asio::error::invalid_argument;
  if (colon == std::string::npos) return {};
  const char* const end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return {};
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  return {ip, port};
}

}  // namespace

backend_connection::backend_connection(const asio::any_io_executor& executor)
    : stream_(executor), buffer_(kReadBufferSize) {}

awaitable<error_code> backend_connection::Connect(const std::string& address,
                                                  byte_count receive_buffer, milliseconds timeout) {
  error_code error;
  const tcp::endpoint endpoint = ParseAddress(address, error);
  if (error) co_return error;
  stream_.socket().open(endpoint.protocol(), error);
  if (error) co_return error;
  // The advertised TCP window follows this size only if it is set before connecting.
  const int size = static_cast<int>(receive_buffer.get());
  error_code ignored;
  stream_.socket().set_option(asio::socket_base::receive_buffer_size(size), ignored);
  stream_.expires_after(timeout);
  co_await stream_.async_connect(endpoint, StoreError(error));
  if (!error) stream_.socket().set_option(tcp::no_delay(true), ignored);
  co_return error;
}

bool IsReset(const error_code& error) {
  return error == asio::error::connection_reset || error == asio::error::connection_aborted ||
         error == asio::error::broken_pipe || error == asio::error::timed_out ||
         error == asio::error::host_unreachable || error == asio::error::network_unreachable;
}

}  // namespace waxwingwing
