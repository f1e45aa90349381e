#include "stand_ins/asio.h"

#include <stdexcept>

namespace waxwingwing::stand_ins {

asio::io_context& EventLoop() {
  static asio::io_context context(1);
  return context;
}

tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    throw std::invalid_argument("malformed address, expected ip:port: " + address);
  const auto ip = asio::ip::make_address(address.substr(0, colon));
  const int port = std::stoi(address.substr(colon + 1));
  return {ip, static_cast<std::uint16_t>(port)};
}

std::string ToAddress(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

awaitable<void> Sleep(duration time) {
  asio::steady_timer timer(EventLoop());
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace waxwingwing::stand_ins
