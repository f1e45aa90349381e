// An entry VM that has lost its paths to the servers, while its callers, the store and the other
// VMs still reach it.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/platform_processes.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr std::size_t kCutOff = 1;
/// Time after which a VM that was cut off serves its callers again.
constexpr milliseconds kRecoveryLimit{3000};
constexpr milliseconds kServingLimit{10000};

/// What happens to connections to the servers.
enum class cut_kind { kRefused, kSilent };

/// A deployment of two entry VMs with proxies before the servers.
struct cut_off_fixture {
  cut_off_fixture() {
    deployment.AddEntry("second");
    deployment.WaitUntilServing();
    REQUIRE(WaitFor([&] { return IsServed("/lookup/x"); }, kServingLimit));
  }

  /// Cuts the second VM off from all servers, or ends that.
  void SetCut(cut_kind kind, bool is_cut) {
    const char* fault = kind == cut_kind::kRefused ? "refuse_process" : "hang_process";
    const nlohmann::json process = is_cut ? deployment.Entry(kCutOff).pid() : 0;
    for (const auto& runner : deployment.runners()) SetAt(runner->name(), fault, process);
    for (const auto& service : deployment.services()) SetAt(service->name(), fault, process);
  }

  bool IsServed(const std::string& path) const {
    const auto answer = deployment.CallAt(kCutOff, "GET", path);
    return answer && answer->status == 200;
  }

  unsigned Once() const {
    const auto answer = deployment.CallAt(kCutOff, "POST", "/once/x", {}, "order");
    return answer ? answer->status : 0;
  }

  entry_deployment deployment{{.proxies = true}};

 private:
  void SetAt(const std::string& name, const char* fault, const nlohmann::json& value) {
    // Each life of a server has a name of its own.
    SetFaults(deployment.ProxyOf(name.substr(0, name.find("-life-"))), {{fault, value}});
  }
};

// Guards against callers that are refused for as long as their VM does not reach the servers,
// though the other VMs do.
TEST_CASE("entry: a VM without paths to the servers serves its callers through another VM",
          "[entry]") {
  cut_off_fixture fixture;
  const cut_kind kind = GENERATE(cut_kind::kRefused, cut_kind::kSilent);
  fixture.SetCut(kind, true);
  const auto cut_at = std::chrono::steady_clock::now();
  // Callers that keep calling are what shows the VM that it is cut off.
  CHECK(WaitFor([&] { return fixture.IsServed("/lookup/x"); }, kRecoveryLimit));
  std::this_thread::sleep_until(cut_at + kRecoveryLimit);
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.IsServed("/lookup/x"));
    CHECK(fixture.Once() == 200);
    const auto stream = fixture.deployment.Stream(kCutOff);
    REQUIRE(stream);
    CHECK(stream->status == 200);
    CHECK(entry_deployment::EventIds(stream->body).size() == fixture.deployment.events());
  }
  CHECK(!fixture.deployment.LogLines("server_paths_lost", "second").empty());
  // A key that no organisation has is refused in the same way.
  const auto unknown =
      fixture.deployment.CallAt(kCutOff, "GET", "/lookup/x", {{"Api-Key", "nobody's"}});
  REQUIRE(unknown);
  CHECK(unknown->status == 401);
  // What the VM sees must not count against the servers.
  CHECK(fixture.deployment.LogLines("group_released").empty());
  CHECK(fixture.deployment.LogLines("group_released", "second").empty());

  fixture.SetCut(kind, false);
  CHECK(WaitFor(
      [&] { return !fixture.deployment.LogLines("server_paths_regained", "second").empty(); },
      kRecoveryLimit));
  CHECK(fixture.IsServed("/lookup/x"));
  const auto ended = fixture.deployment.LogLines("request_ended", "second");
  REQUIRE(!ended.empty());
  CHECK(ended.back()["carried"] == false);
}

// Guards against orders that run twice because the VM in between is lost with the answer.
TEST_CASE("entry: a request that must run once is not sent again when its carrier ends",
          "[entry]") {
  cut_off_fixture fixture;
  fixture.SetCut(cut_kind::kRefused, true);
  REQUIRE(WaitFor([&] { return fixture.Once() == 200; }, kRecoveryLimit));
  fixture.deployment.SetFault(fixture.deployment.service(), "delay_ms", 1000);
  result<http_answer> answer = result<http_answer>::Failure("not called");
  std::thread caller([&] {
    answer = fixture.deployment.CallAt(kCutOff, "POST", "/once/x", {{"Request-Id", "carried-once"}},
                                       "order");
  });
  std::this_thread::sleep_for(milliseconds(500));
  fixture.deployment.Entry(0).Kill();
  caller.join();
  REQUIRE(answer);
  CHECK((answer->status == 502 || answer->status == 504));
  std::this_thread::sleep_for(milliseconds(1500));
  CHECK(fixture.deployment.RunsOf("carried-once") <= 1);
}

}  // namespace
}  // namespace waxwingwing::integration
