#include "forward/server_pool.h"

#include <algorithm>
#include <array>
#include <utility>

namespace waxwingwing {

error_code server_connection::Peek() {
  std::array<char, 1> byte{};
  error_code error;
  socket.receive(asio::buffer(byte), asio::ip::tcp::socket::message_peek, error);
  return error;
}

std::unique_ptr<server_connection> server_pool::Take(const std::string& address,
                                                     const request_id& request, time_point now) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  for (std::size_t i = connections.size(); i > 0; --i) {
    const auto place = connections.begin() + static_cast<std::ptrdiff_t>(i - 1);
    if ((*place)->refused.Contains(request)) continue;
    std::unique_ptr<server_connection> newest = std::move(*place);
    connections.erase(place);
    if (now >= newest->usable_until || !newest->IsOpenAndQuiet()) continue;
    return newest;
  }
  return nullptr;
}

void server_pool::Keep(const std::string& address, std::unique_ptr<server_connection> connection,
                       std::optional<milliseconds> idle_limit, time_point now) {
  const milliseconds limit = idle_limit.value_or(options_.idle_connection_limit);
  if (limit <= options_.idle_margin || connection->refused.IsFull()) return;
  connection->usable_until = now + (limit - options_.idle_margin);
  auto& connections = idle_[address];
  connections.push_back(std::move(connection));
  if (connections.size() > options_.max_idle_connections) connections.pop_front();
}

void server_pool::CloseExpired(time_point now) {
  for (auto& [address, connections] : idle_) {
    std::erase_if(connections, [&](const auto& idle) { return now >= idle->usable_until; });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace waxwingwing
