#pragma once

// Boost 1.74 uses std::exchange without including <utility>.
// clang-format off
#include <utility>
#include <boost/asio/io_context.hpp>
// clang-format on

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "tests/integration/http_client.h"
#include "waxwingwing/core/clock.h"

namespace waxwingwing::integration {

/// One connection whose operations block until they end or a deadline passes.
class http_connection {
 public:
  using error_code = boost::system::error_code;
  using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  http_connection() : stream_(context_) {}
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  /// `receive_buffer_bytes` sets the size of the socket's buffer; 0: the system's default.
  error_code Connect(const std::string& address, time_point deadline, int receive_buffer_bytes = 0);
  /// `keep_alive`: asks the server to keep the connection open after its answer.
  error_code Write(const std::string& host, const http_call& call, time_point deadline,
                   bool keep_alive = false);
  /// Reads the whole answer.
  error_code Read(parser& into, time_point deadline);
  /// Reads what is there, at least one byte.
  error_code ReadSome(parser& into, time_point deadline);
  void Close() { stream_.close(); }

  static http_answer ToAnswer(const parser& from);

 private:
  error_code RunUntilDone(const error_code& outcome);

  boost::asio::io_context context_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace waxwingwing::integration
