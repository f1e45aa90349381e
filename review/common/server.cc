#include "server.h"

#include <iostream>
#include <mutex>
#include <thread>

namespace review {
namespace {

constexpr milliseconds kHeartbeat{300};

std::int64_t UnixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace

void Register(const registration& server) {
  static const std::int64_t kBorn = UnixMillis();
  static std::mutex mutex;
  static std::uint64_t seq = 0;
  // A later registration must not state an earlier state.
  const std::lock_guard lock(mutex);
  nlohmann::json entry = {{"service", server.service},
                          {"addr", server.address},
                          {"zone", "ifo"},
                          {"version", "v1"},
                          {"slots", 16},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"born", kBorn}};
  server.add_state(entry);
  entry["seq"] = ++seq;
  AppendToStore(server.store, "keyed.servers", server.id, entry.dump());
}

void ServeForever(registration& server, const std::function<void(connection)>& serve) {
  const listener accepting;
  server.address = accepting.address();
  std::cout << server.address << std::endl;
  std::thread([&] {
    for (;;) {
      Register(server);
      std::this_thread::sleep_for(kHeartbeat);
    }
  }).detach();
  for (;;) {
    std::thread([&serve, accepted = accepting.Accept()]() mutable {
      serve(std::move(accepted));
    }).detach();
  }
}

std::string WriteAnswer(const std::string& status, const std::string& headers,
                        const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
