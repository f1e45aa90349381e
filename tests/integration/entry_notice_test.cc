// Servers that state in their answers what they want of the VMs.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/http_client.h"
#include "tests/integration/platform_processes.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

std::size_t Arrivals(entry_deployment& deployment, child_process& server) {
  return deployment.Records(server, "arrivals").size();
}

/// Sends requests to the plain service until `server` has got one more; returns their number.
std::size_t ReachServer(entry_deployment& deployment, child_process& server) {
  const std::size_t before = Arrivals(deployment, server);
  std::size_t sent = 0;
  while (sent < 100 && Arrivals(deployment, server) == before) {
    ++sent;
    REQUIRE(deployment.Call("GET", "/lookup/x"));
  }
  REQUIRE(sent < 100);
  return sent;
}

// Guards against sending requests to a server that has said that it leaves, which the list of
// servers does not tell while the store is away.
TEST_CASE("entry: a server that says it is leaving gets no more requests", "[entry]") {
  entry_deployment deployment({.services = 2, .proxies = true});
  deployment.WaitUntilServing();
  child_process& leaving = *deployment.services().front();
  deployment.SetFault(leaving, "leaving", true);
  SetFaults(deployment.ProxyOf("store"), {{"cut", true}});
  ReachServer(deployment, leaving);
  const std::size_t arrivals = Arrivals(deployment, leaving);
  SECTION("also when it does not say so again") { deployment.SetFault(leaving, "leaving", false); }
  SECTION("also when the store is back") {
    SetFaults(deployment.ProxyOf("store"), {{"cut", false}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  }
  for (int i = 0; i < 60; ++i) {
    const auto answer = deployment.Call("GET", "/lookup/x");
    REQUIRE(answer);
    CHECK(answer->status == 200);
  }
  CHECK(Arrivals(deployment, leaving) == arrivals);
  CHECK(deployment.LogLines("server_leaving").size() == 1);
}

// Guards against holding a server's leaving against its next incarnation under the same id.
TEST_CASE("entry: a server that left and started again gets requests again", "[entry]") {
  entry_deployment deployment({.runners = 2});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.Head(), "leaving", true);
  CHECK(WaitFor(
      [&] {
        const auto answer = deployment.Stream();
        return answer && answer->status == 503;
      },
      milliseconds(3000)));
  for (std::size_t i = 0; i < deployment.runners().size(); ++i) {
    deployment.runners()[i]->Kill();
    deployment.RestartRunner(i);
  }
  CHECK(WaitFor(
      [&] {
        const auto answer = deployment.Stream();
        return answer && answer->status == 200;
      },
      milliseconds(12000)));
}

/// A rest that the tests outlast, in seconds.
constexpr const char* kRest = "1.5";
constexpr std::chrono::milliseconds kRestTime{1500};

std::chrono::milliseconds Since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start);
}

// Guards against sending requests to a server that has asked for a time without any.
TEST_CASE("entry: a server that asks for a rest gets no request until it is over", "[entry]") {
  entry_deployment deployment({.services = 2});
  deployment.WaitUntilServing();
  child_process& resting = *deployment.services().front();
  SetFaults(resting, {{"reject", 1}, {"retry_after", kRest}});
  const auto start = std::chrono::steady_clock::now();
  ReachServer(deployment, resting);
  const std::size_t arrivals = Arrivals(deployment, resting);
  while (Since(start) < kRestTime - std::chrono::milliseconds(200)) {
    const auto answer = deployment.Call("GET", "/lookup/x");
    REQUIRE(answer);
    CHECK(answer->status == 200);
  }
  CHECK(Arrivals(deployment, resting) == arrivals);
  CHECK(deployment.LogLines("server_rests").size() == 1);
  std::this_thread::sleep_for(kRestTime);
  ReachServer(deployment, resting);
}

// Guards against letting a server rest again because of the copy of a refusal that asked for a rest
// that is over.
TEST_CASE("entry: the copy of a refusal does not make its server rest again", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  child_process& server = deployment.service();
  SetFaults(server, {{"reject", 1}, {"retry_after", kRest}, {"copy_refusals", true}});
  const auto refused = deployment.Call("POST", "/once/a", {}, "confirm");
  REQUIRE(refused);
  CHECK(refused->status == 503);
  std::this_thread::sleep_for(kRestTime + std::chrono::milliseconds(500));
  // The copy stands in front of the first of these answers.
  for (int i = 0; i < 3; ++i) {
    const auto answer = deployment.Call("POST", "/once/a", {}, "confirm");
    REQUIRE(answer);
    INFO(answer->body);
    CHECK(answer->status == 200);
  }
  const std::string metrics = http_client(deployment.ready_address()).Get("/metrics").body;
  CHECK(metrics.find("waxwingwing_foreign_answers_total 1\n") != std::string::npos);
  CHECK(metrics.find("waxwingwing_server_notices_total{notice=\"rest\"} 1\n") != std::string::npos);
}

// Guards against holding a request for a server that wants none within the time that is left, and
// against telling its caller to come back too early.
TEST_CASE("entry: a request that only resting servers could take is refused at once", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  SetFaults(deployment.service(), {{"reject", 1}, {"retry_after", kRest}});
  const auto start = std::chrono::steady_clock::now();
  const auto first = deployment.Call("POST", "/once/a", {}, "confirm");
  REQUIRE(first);
  CHECK(first->status == 503);
  const auto second = deployment.Call("POST", "/once/a", {}, "confirm");
  REQUIRE(second);
  CHECK(second->status == 503);
  CHECK(second->body.find("all_resting") != std::string::npos);
  const double seconds = std::stod(second->Header("Retry-After"));
  CHECK(seconds > std::chrono::duration<double>(kRestTime - Since(start)).count());
  // The rest, a tenth of it and the spread of all returns.
  CHECK(seconds < 2.2);
  CHECK(Arrivals(deployment, deployment.service()) == 1);
  CHECK(WaitFor(
      [&] {
        const auto lines = deployment.LogLines("request_ended");
        return std::any_of(lines.begin(), lines.end(), [](const auto& line) {
          // A request waits for a place for 0.3 of its objective, 120 ms.
          return line["reason"] == "all_resting" && line["failure"] == "resting=1" &&
                 line["took_ms"] < 120;
        });
      },
      std::chrono::milliseconds(2000)));
}

// Guards against taking a malformed time for one.
TEST_CASE("entry: a refusal with a malformed time to come back keeps no requests off", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  const std::string value = GENERATE(as<std::string>{}, "-5", "soon", "1e9", "nan", "0", "4 s");
  SetFaults(deployment.service(), {{"reject", 1}, {"retry_after", value}});
  CHECK(deployment.Call("POST", "/once/a", {}, "confirm")->status == 503);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(deployment.Call("POST", "/once/a", {}, "confirm")->status == 200);
}

/// Callers that send requests to the plain service at all VMs until they are stopped.
class steady_callers {
 public:
  explicit steady_callers(const entry_deployment& deployment) {
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      threads_.emplace_back([this, &deployment, caller] {
        while (!stopped_) {
          static_cast<void>(deployment.CallAt(caller % kEntries, "GET", "/lookup/x"));
          std::this_thread::sleep_for(std::chrono::milliseconds(40));
        }
      });
    }
  }
  steady_callers(const steady_callers&) = delete;
  steady_callers& operator=(const steady_callers&) = delete;
  ~steady_callers() {
    stopped_ = true;
    for (std::thread& thread : threads_) thread.join();
  }

  static constexpr std::size_t kEntries = 3;

 private:
  static constexpr std::size_t kCallers = 6;
  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

/// Largest number of requests that arrived at the server within `length`, after the first
/// `skipped`.
std::size_t MostArrivals(entry_deployment& deployment, child_process& server, std::size_t skipped,
                         std::chrono::microseconds length) {
  std::vector<std::int64_t> times;
  for (const auto& arrival : deployment.Records(server, "arrivals")) {
    times.push_back(arrival["at_us"].get<std::int64_t>());
  }
  std::size_t most = 0;
  for (std::size_t first = skipped; first < times.size(); ++first) {
    const auto end = std::lower_bound(times.begin(), times.end(), times[first] + length.count());
    most = std::max(most, static_cast<std::size_t>(end - times.begin()) - first);
  }
  return most;
}

// Guards against more requests, from all VMs together, than a server says that it takes, and
// against keeping to a limit that it no longer states.
TEST_CASE("entry: a server gets no more requests than the limit that it states", "[entry]") {
  entry_deployment deployment({.services = 2});
  deployment.WaitUntilServing();
  deployment.AddEntry("second");
  deployment.AddEntry("third");
  const auto all_serve = [&] {
    for (std::size_t entry = 0; entry < steady_callers::kEntries; ++entry) {
      const auto answer = deployment.CallAt(entry, "GET", "/lookup/x");
      if (!answer || answer->status != 200) return false;
    }
    return true;
  };
  REQUIRE(WaitFor(all_serve, std::chrono::milliseconds(10000)));
  child_process& limited = *deployment.services().front();
  const steady_callers callers(deployment);
  SetFaults(limited, {{"rate_limit", "3"}});
  // All VMs have passed on an answer that states the limit.
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  const std::size_t before = Arrivals(deployment, limited);
  std::this_thread::sleep_for(std::chrono::milliseconds(6000));
  const std::size_t during = Arrivals(deployment, limited);
  CHECK(MostArrivals(deployment, limited, before, std::chrono::seconds(4)) <= 1.5 * 4 * 3 + 5);
  CHECK(during > before + 6);
  SetFaults(limited, {{"rate_limit", ""}});
  CHECK(WaitFor([&] { return Arrivals(deployment, limited) > during + 100; },
                std::chrono::milliseconds(6000)));
}

}  // namespace
}  // namespace waxwingwing::integration
