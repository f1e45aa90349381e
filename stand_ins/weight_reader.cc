#include "stand_ins/weight_reader.h"

#include <fmt/format.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <vector>

namespace waxwingwing::stand_ins {
namespace {

namespace http = boost::beast::http;
constexpr std::size_t kBlockBytes = std::size_t{64} * 1024;

http::request<http::empty_body> WeightRequest(const weight_source& source) {
  const std::string target = fmt::format("/v1/weights/{}?rank={}", source.model, source.rank);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, source.address);
  request.set(http::field::connection, "close");
  if (source.bytes > 0) {
    request.set(http::field::range, fmt::format("bytes=0-{}", source.bytes - 1));
  }
  return request;
}

}  // namespace

awaitable<bool> ReadWeights(weight_source source, std::function<bool()> wanted) {
  const auto executor = co_await asio::this_coro::executor;
  tcp::socket socket(executor);
  error_code error;
  const tcp::endpoint endpoint = ParseEndpoint(source.address);
  co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return false;
  const auto request = WeightRequest(source);
  co_await http::async_write(socket, request, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return false;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read_header(socket, buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
  if (error || parser.get().result() != http::status::ok) co_return false;
  std::vector<char> block(kBlockBytes);
  while (!parser.is_done()) {
    if (!wanted()) co_return false;
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    co_await http::async_read_some(socket, buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) co_return false;
  }
  co_return true;
}

}  // namespace waxwingwing::stand_ins
