#include "forward/http_text.h"

#include <fmt/format.h>

#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>
#include <vector>

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

constexpr std::array kConnectionFields = {http::field::connection,
                                          http::field::keep_alive,
                                          http::field::proxy_connection,
                                          http::field::te,
                                          http::field::trailer,
                                          http::field::transfer_encoding,
                                          http::field::upgrade,
                                          http::field::expect,
                                          http::field::proxy_authenticate,
                                          http::field::proxy_authorization,
                                          http::field::content_length};

void AppendFields(std::string& text, const http_fields& fields) {
  for (const auto& field : fields) {
    const auto name = field.name_string();
    const auto value = field.value();
    text.append(name.data(), name.size()).append(": ");
    text.append(value.data(), value.size()).append("\r\n");
  }
}

}  // namespace

void RemoveConnectionFields(http_fields& fields) {
  std::vector<std::string> named;
  const auto connection = fields[http::field::connection];
  for (const auto& token : http::token_list(connection)) named.emplace_back(token);
  for (const std::string& name : named) fields.erase(name);
  for (const http::field field : kConnectionFields) fields.erase(field);
}

std::string WriteRequestHead(std::string_view method, std::string_view target,
                             const http_fields& fields, std::size_t body_size) {
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
  AppendFields(text, fields);
  const bool has_body = body_size > 0 || (method != "GET" && method != "HEAD");
  if (has_body) fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", body_size);
  text += "\r\n";
  return text;
}

std::string WriteResponseHead(unsigned status, std::string_view reason, const http_fields& fields,
                              std::optional<std::size_t> length, bool keep_alive) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
  AppendFields(text, fields);
  if (length) {
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", *length);
  } else {
    text += "Transfer-Encoding: chunked\r\n";
  }
  text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
  return text;
}

std::string WriteChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

}  // namespace waxwingwing
