#include "tests/integration/http_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <stdexcept>

namespace waxwingwing::integration {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("not ip:port: " + address);
  const auto ip = boost::asio::ip::make_address(address.substr(0, colon));
  return {ip, static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

http_connection::error_code http_connection::Connect(const std::string& address,
                                                     time_point deadline,
                                                     int receive_buffer_bytes) {
  const tcp::endpoint endpoint = ParseEndpoint(address);
  error_code outcome;
  stream_.socket().open(endpoint.protocol(), outcome);
  if (outcome) return outcome;
  if (receive_buffer_bytes > 0) {
    stream_.socket().set_option(tcp::socket::receive_buffer_size(receive_buffer_bytes));
  }
  stream_.expires_at(deadline);
  stream_.async_connect(endpoint, [&](error_code error) { outcome = error; });
  return RunUntilDone(outcome);
}

http_connection::error_code http_connection::Write(const std::string& host, const http_call& call,
                                                   time_point deadline, bool keep_alive) {
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(call.method);
  request.target(call.path);
  request.set(http::field::host, host);
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.keep_alive(keep_alive);
  request.body() = call.body;
  request.prepare_payload();
  error_code outcome;
  stream_.expires_at(deadline);
  http::async_write(stream_, request, [&](error_code error, std::size_t) { outcome = error; });
  return RunUntilDone(outcome);
}

http_connection::error_code http_connection::Read(parser& into, time_point deadline) {
  error_code outcome;
  stream_.expires_at(deadline);
  http::async_read(stream_, buffer_, into, [&](error_code error, std::size_t) { outcome = error; });
  return RunUntilDone(outcome);
}

http_connection::error_code http_connection::ReadSome(parser& into, time_point deadline) {
  error_code outcome;
  stream_.expires_at(deadline);
  http::async_read_some(stream_, buffer_, into,
                        [&](error_code error, std::size_t) { outcome = error; });
  return RunUntilDone(outcome);
}

http_connection::error_code http_connection::RunUntilDone(const error_code& outcome) {
  context_.restart();
  context_.run();
  return outcome;
}

http_answer http_connection::ToAnswer(const parser& from) {
  http_answer answer;
  answer.status = from.get().result_int();
  for (const auto& field : from.get()) {
    answer.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  answer.body = from.get().body();
  return answer;
}

}  // namespace waxwingwing::integration
