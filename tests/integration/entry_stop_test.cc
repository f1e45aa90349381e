// Requests that arrive while an entry VM stops.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/http_connection.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

/// Streams last 2.4 s and begin a second after the signal, so that the process goes on after it has
/// stopped to take requests.
constexpr std::size_t kEvents = 120;
constexpr std::chrono::milliseconds kStreamDelay{1000};

/// A caller that sends calls that must not be repeated, on one connection as long as it is open.
class persistent_caller {
 public:
  persistent_caller(const entry_deployment& deployment, std::string name)
      : deployment_(deployment), name_(std::move(name)), thread_([this] { Run(); }) {}
  persistent_caller(const persistent_caller&) = delete;
  persistent_caller& operator=(const persistent_caller&) = delete;
  ~persistent_caller() { Stop(); }

  void Stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
  }
  /// Statuses by request id after `Stop`; 0: no whole answer.
  const std::map<std::string, unsigned>& statuses() const { return statuses_; }

 private:
  void Run() {
    std::unique_ptr<http_connection> connection;
    for (int number = 0; !stopped_; ++number) {
      const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(1000);
      if (!connection) {
        connection = std::make_unique<http_connection>();
        if (connection->Connect(deployment_.CallerAddress(0), deadline)) connection.reset();
      }
      if (connection) {
        const bool open = Call(*connection, name_ + "-" + std::to_string(number), deadline);
        if (!open) connection.reset();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  /// Returns whether the connection stays open.
  bool Call(http_connection& connection, const std::string& id, time_point deadline) {
    const http_call call{
        "POST",
        "/once/a",
        {{"Request-Id", id}, {"Deadline-Ms", "1000"}, {"Api-Key", "key-of-first-organisation"}},
        "confirm"};
    http_connection::parser parser;
    auto error = connection.Write("desk.example", call, deadline, true);
    if (!error) error = connection.Read(parser, deadline);
    statuses_[id] = error ? 0 : parser.get().result_int();
    return !error && parser.get().keep_alive();
  }

  const entry_deployment& deployment_;
  const std::string name_;
  std::atomic<bool> stopped_{false};
  std::map<std::string, unsigned> statuses_;
  std::thread thread_;
};

// Guards against passing on requests that arrive late in the grace period and cutting them off at
// its end, among them calls that must not be repeated.
TEST_CASE("entry: each call that runs while a VM stops is answered whole", "[entry]") {
  entry_deployment deployment({.services = 2, .events = kEvents});
  deployment.WaitUntilServing();
  std::vector<std::unique_ptr<persistent_caller>> callers(4);
  for (std::size_t i = 0; i < callers.size(); ++i) {
    callers[i] = std::make_unique<persistent_caller>(deployment, "c" + std::to_string(i));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  deployment.entry().Terminate();
  std::this_thread::sleep_for(kStreamDelay);
  std::vector<std::size_t> events(3, 0);
  std::vector<std::thread> streams;
  streams.reserve(events.size());
  for (std::size_t& received : events) {
    streams.emplace_back([&deployment, &received] {
      const auto stream = deployment.Stream();
      if (stream) received = entry_deployment::EventIds(stream->body).size();
    });
  }
  const auto status = deployment.entry().WaitForExit(std::chrono::milliseconds(8000));
  REQUIRE(status);
  CHECK(status->code == 0);
  for (std::thread& stream : streams) stream.join();
  CHECK(events == std::vector<std::size_t>(3, kEvents));
  std::map<std::string, unsigned> statuses;
  for (const auto& caller : callers) {
    caller->Stop();
    statuses.insert(caller->statuses().begin(), caller->statuses().end());
  }
  std::size_t runs = 0;
  for (const auto& service : deployment.services()) {
    for (const auto& run : deployment.Records(*service, "runs")) {
      const std::string id = run["request"];
      if (!statuses.contains(id)) continue;
      ++runs;
      INFO(id);
      CHECK(statuses[id] == 200);
    }
  }
  CHECK(runs > 50);
}

}  // namespace
}  // namespace waxwingwing::integration
