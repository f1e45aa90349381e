#include "stand_ins/http_exchange.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <cerrno>

namespace waxwingwing::stand_ins {
namespace {

constexpr int kHexadecimal = 16;

/// Value of a percent-encoded byte's two digits.
char ByteOf(const std::string& digits) {
  return static_cast<char>(std::stoi(digits, nullptr, kHexadecimal));
}

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> values;
  std::size_t start = 0;
  while (start < query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string item = query.substr(start, end - start);
    const std::size_t equals = std::min(item.find('='), item.size());
    if (equals < item.size())
      values[item.substr(0, equals)] = DecodePercent(item.substr(equals + 1));
    start = end + 1;
  }
  return values;
}

}  // namespace

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_encoded = text[i] == '%' && i + 2 < text.size() &&
                            std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                            std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    decoded += is_encoded ? ByteOf(text.substr(i + 1, 2)) : text[i];
    if (is_encoded) i += 2;
  }
  return decoded;
}

http_exchange::http_exchange(tcp::socket& socket, http_request request, std::string& late_bytes)
    : socket_(socket), request_(std::move(request)), late_bytes_(late_bytes) {
  const std::string target(request_.target());
  const std::size_t query_start = std::min(target.find('?'), target.size());
  path_ = target.substr(0, query_start);
  if (query_start < target.size()) query_ = ParseQuery(target.substr(query_start + 1));
}

std::string http_exchange::Header(std::string_view name) const {
  const auto found = request_.find(name);
  return found == request_.end() ? std::string() : std::string(found->value());
}

std::uint64_t http_exchange::QueryNumber(const std::string& name,
                                         std::uint64_t default_value) const {
  const auto found = query_.find(name);
  return found == query_.end() ? default_value : std::stoull(found->second);
}

std::string http_exchange::QueryText(const std::string& name) const {
  const auto found = query_.find(name);
  return found == query_.end() ? std::string() : found->second;
}

void http_exchange::AddHeader(std::string name, std::string value) {
  common_headers_.emplace_back(std::move(name), std::move(value));
}

awaitable<bool> http_exchange::Answer(unsigned status, const json& body) {
  header_list headers;
  co_return co_await AnswerText(status, body.dump(), std::move(headers));
}

awaitable<bool> http_exchange::AnswerText(unsigned status, std::string body, header_list headers) {
  answered_ = true;
  http::response<http::string_body> response;
  response.version(11);
  response.result(status);
  response.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : common_headers_) response.set(name, value);
  for (const auto& [name, value] : headers) response.set(name, value);
  response.keep_alive(request_.keep_alive());
  response.body() = std::move(body);
  response.prepare_payload();
  error_code error;
  co_await http::async_write(socket_, response, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

awaitable<bool> http_exchange::BeginChunks(std::string content_type, header_list headers) {
  return WriteHead(std::move(content_type), std::move(headers), true);
}

awaitable<bool> http_exchange::BeginUnframed(std::string content_type, header_list headers) {
  return WriteHead(std::move(content_type), std::move(headers), false);
}

awaitable<bool> http_exchange::WriteHead(std::string content_type, header_list headers,
                                         bool chunked) {
  answered_ = true;
  http::response<http::empty_body> response;
  response.version(11);
  response.result(http::status::ok);
  response.set(http::field::content_type, content_type);
  for (const auto& [name, value] : headers) response.set(name, value);
  response.keep_alive(chunked && request_.keep_alive());
  response.chunked(chunked);
  http::response_serializer<http::empty_body> serializer(response);
  error_code error;
  co_await http::async_write_header(socket_, serializer,
                                    asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

awaitable<bool> http_exchange::WriteChunk(const std::string& data) {
  std::string chunk = fmt::format("{:x}\r\n", data.size());
  chunk += data;
  chunk += "\r\n";
  return WriteBytes(std::move(chunk));
}

awaitable<bool> http_exchange::EndChunks() { return WriteBytes("0\r\n\r\n"); }

awaitable<bool> http_exchange::WriteBytes(std::string data) {
  answered_ = true;
  error_code error;
  co_await asio::async_write(socket_, asio::buffer(data),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

void http_exchange::Close() {
  answered_ = true;
  error_code ignored;
  socket_.close(ignored);
}

bool http_exchange::IsClosed() {
  if (!socket_.is_open()) return true;
  char byte = 0;
  const ssize_t size = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return false;
  return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace waxwingwing::stand_ins
