#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "stand_ins/asio.h"

namespace waxwingwing::stand_ins {

namespace http = boost::beast::http;
using http_request = http::request<http::string_body>;
using header_list = std::vector<std::pair<std::string, std::string>>;
using nlohmann::json;

/// Reverses the percent-encoding of a value in a request's target.
std::string DecodePercent(const std::string& text);

/// One HTTP request and the means to answer it: with a complete response, with a chunked one, or by
/// closing the connection.
///
/// Functions that write return false when the connection failed.
class http_exchange {
 public:
  /// `late_bytes` belongs to the connection and holds what a fault writes on it later.
  http_exchange(tcp::socket& socket, http_request request, std::string& late_bytes);
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  const http_request& request() const { return request_; }
  std::string Method() const { return std::string(request_.method_string()); }
  /// Target of the request without its query.
  const std::string& path() const { return path_; }
  /// Value of a request header; empty when the header is absent.
  std::string Header(std::string_view name) const;
  /// Value of a numeric query parameter; `default_value` when it is absent.
  std::uint64_t QueryNumber(const std::string& name, std::uint64_t default_value) const;
  /// Value of a query parameter; empty when it is absent.
  std::string QueryText(const std::string& name) const;
  /// Parses the request body as JSON; throws nlohmann::json::exception.
  json Body() const { return json::parse(request_.body()); }

  /// Adds a header to the complete responses to this request.
  void AddHeader(std::string name, std::string value);
  /// Sends a complete JSON response.
  awaitable<bool> Answer(unsigned status, const json& body);
  awaitable<bool> AnswerText(unsigned status, std::string body, header_list headers);

  /// Starts a chunked response; continued by `WriteChunk`, ended by `EndChunks`.
  awaitable<bool> BeginChunks(std::string content_type, header_list headers);
  awaitable<bool> WriteChunk(const std::string& data);
  /// Starts a response without a length or chunks; continued by `WriteBytes`, ended by `Close`.
  awaitable<bool> BeginUnframed(std::string content_type, header_list headers);
  awaitable<bool> EndChunks();
  /// Writes bytes as they are, whether or not they are a response.
  awaitable<bool> WriteBytes(std::string data);
  /// Bytes to be written in front of the answer to a later request on this connection.
  std::string& late_bytes() { return late_bytes_; }

  /// Closes the connection; pending writes fail.
  void Close();
  /// Whether this side or the peer closed the connection.
  bool IsClosed();
  /// Whether a response was started or the connection was closed by this side.
  bool answered() const { return answered_; }

 private:
  tcp::socket& socket_;
  http_request request_;
  std::string& late_bytes_;
  std::string path_;
  awaitable<bool> WriteHead(std::string content_type, header_list headers, bool chunked);

  std::map<std::string, std::string> query_;
  header_list common_headers_;
  bool answered_ = false;
};

}  // namespace waxwingwing::stand_ins
