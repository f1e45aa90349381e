// The store comes back from a copy some seconds old, and the operators write again what it lost.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/platform_processes.h"
#include "tests/integration/wait_for.h"
#include "waxwingwing/core/finding.h"

namespace waxwingwing::integration {
namespace {

constexpr std::size_t kEntries = 2;
const std::vector<std::string> kEntryNames = {"entry", "second"};
/// Time for which the store is away before it comes back from the copy.
constexpr milliseconds kAway{1000};
constexpr milliseconds kInForceLimit{2000};
constexpr milliseconds kCheckInterval{20};
/// Longer than the entry VMs wait for the operators to write again what was lost.
constexpr milliseconds kAfterRewriting{3500};

/// Checks something at each entry VM, again and again until it is stopped.
class entry_watch {
 public:
  /// Returns what is wrong with the entry VM; empty when nothing is.
  using checker = std::function<std::string(std::size_t entry)>;

  explicit entry_watch(const checker& check) {
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      threads_.emplace_back([this, check, entry] { Run(check, entry); });
    }
  }
  entry_watch(const entry_watch&) = delete;
  entry_watch& operator=(const entry_watch&) = delete;
  ~entry_watch() { Stop(); }

  /// Ends the checks and returns what was found.
  std::string Stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    return findings_.ToText();
  }
  std::size_t checks() const { return checks_; }

 private:
  void Run(const checker& check, std::size_t entry) {
    const std::int64_t start = MonotonicMicros();
    while (!stopping_) {
      const std::int64_t at = (MonotonicMicros() - start) / 1000;
      const std::string found = check(entry);
      ++checks_;
      if (!found.empty()) {
        const std::lock_guard lock(mutex_);
        findings_.Add(kEntryNames[entry], std::to_string(at) + " ms: " + found);
      }
      std::this_thread::sleep_for(kCheckInterval);
    }
  }

  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> checks_ = 0;
  std::mutex mutex_;
  finding_list findings_;
  std::vector<std::thread> threads_;
};

/// Keeps the entry VMs from the store for a while; it is back from the copy, and has the records
/// that `write` writes, before they reach it again.
void RestoreStore(
    entry_deployment& deployment, const std::function<void()>& write = [] {}) {
  SetFaults(deployment.ProxyOf("store"), {{"cut", true}});
  std::this_thread::sleep_for(kAway);
  SetFaults(deployment.store(), {{"restore", true}});
  write();
  SetFaults(deployment.ProxyOf("store"), {{"cut", false}});
}

std::string RouteOf(std::uint64_t version) { return "/since/" + std::to_string(version) + "/"; }

/// A configuration without the route `/lookup/`, and with `RouteOf` each of these versions, the
/// last of which is its own.
nlohmann::json Changed(const entry_deployment& deployment,
                       const std::vector<std::uint64_t>& versions) {
  auto configuration = deployment.Configuration(versions.back());
  const auto lookup = configuration["routes"][2];
  configuration["routes"].erase(2);
  for (const std::uint64_t version : versions) {
    auto route = lookup;
    route["name"] = "since-" + std::to_string(version);
    route["path_prefix"] = RouteOf(version);
    configuration["routes"].push_back(route);
  }
  return configuration;
}

unsigned StatusAt(const entry_deployment& deployment, std::size_t entry, const std::string& path) {
  const auto answer = deployment.CallAt(entry, "GET", path);
  return answer ? answer->status : 0;
}

/// Waits until every entry VM answers a request for the path with the status.
bool WaitForStatus(const entry_deployment& deployment, const std::string& path, unsigned status,
                   milliseconds limit) {
  return WaitFor(
      [&] {
        return StatusAt(deployment, 0, path) == status && StatusAt(deployment, 1, path) == status;
      },
      limit);
}

void WaitUntilBothServe(entry_deployment& deployment) {
  deployment.AddEntry("second");
  deployment.WaitUntilServing();
  REQUIRE(WaitForStatus(deployment, "/lookup/x", 200, milliseconds(10000)));
}

// Guards against an older configuration from the copy, and against one that is not read because the
// store gives out its offset a second time.
TEST_CASE("entry: a restored store takes no change of the configuration back and delays none",
          "[entry]") {
  entry_deployment deployment({.proxies = true});
  WaitUntilBothServe(deployment);
  std::vector<std::uint64_t> lost;
  bool is_fewer = false;
  SECTION("when fewer records are written again than were lost") {
    lost = {2, 3, 4, 5};
    is_fewer = true;
  }
  SECTION("when more records are written again than were lost, before they are read") {
    lost = {4, 5};
  }
  deployment.SetFault(deployment.store(), "save_copy", true);
  for (const std::uint64_t version : lost) {
    deployment.WriteConfiguration(Changed(deployment, {version}));
    REQUIRE(WaitForStatus(deployment, RouteOf(version) + "x", 200, kInForceLimit));
  }
  REQUIRE(WaitForStatus(deployment, "/lookup/x", 404, kInForceLimit));
  entry_watch watch([&](std::size_t entry) -> std::string {
    const unsigned added = StatusAt(deployment, entry, "/since/5/x");
    const unsigned removed = StatusAt(deployment, entry, "/lookup/x");
    if (added == 404) return "the route that was added is gone";
    // Without a recent confirmation of the keys, requests are refused before a route is looked up.
    if (removed != 404 && removed != 503) {
      return "the route that was removed answers " + std::to_string(removed);
    }
    return {};
  });

  const auto write_configurations = [&] {
    deployment.WriteConfiguration(Changed(deployment, {5}));
    deployment.WriteConfiguration(Changed(deployment, {5, 9}));
  };
  if (is_fewer) {
    RestoreStore(deployment);
    std::this_thread::sleep_for(milliseconds(400));
    write_configurations();
  } else {
    RestoreStore(deployment, [&] {
      write_configurations();
      for (int i = 0; i < 6; ++i) {
        deployment.WriteOperatorRecord("evacuate/elsewhere", i % 2 == 0 ? "{}" : "");
      }
    });
  }
  CHECK(WaitForStatus(deployment, RouteOf(9) + "x", 200, kInForceLimit));
  std::this_thread::sleep_for(kAfterRewriting);
  deployment.WriteConfiguration(Changed(deployment, {5, 9, 11}));
  CHECK(WaitForStatus(deployment, RouteOf(11) + "x", 200, kInForceLimit));
  const std::string found = watch.Stop();
  CAPTURE(found);
  CHECK(found.empty());
  CHECK(watch.checks() > 100);
}

// Guards against taking back a failure domain because the copy lacks its evacuation.
TEST_CASE("entry: a restored store takes no evacuation back", "[entry]") {
  entry_deployment deployment({.proxies = true});
  WaitUntilBothServe(deployment);
  deployment.SetFault(deployment.store(), "save_copy", true);
  deployment.WriteOperatorRecord("evacuate/ifo", "{}");
  REQUIRE(WaitForStatus(deployment, "/lookup/x", 503, kInForceLimit));
  std::this_thread::sleep_for(milliseconds(500));
  entry_watch watch([&](std::size_t entry) -> std::string {
    const unsigned status = StatusAt(deployment, entry, "/lookup/x");
    return status == 503 ? "" : "a request was answered with " + std::to_string(status);
  });

  RestoreStore(deployment);
  std::this_thread::sleep_for(milliseconds(1500));
  deployment.WriteOperatorRecord("evacuate/ifo", "{}");
  std::this_thread::sleep_for(kAfterRewriting);
  const std::string found = watch.Stop();
  CAPTURE(found);
  CHECK(found.empty());
  CHECK(watch.checks() > 100);
  deployment.WriteOperatorRecord("evacuate/ifo", "");
  CHECK(WaitForStatus(deployment, "/lookup/x", 200, kInForceLimit));
}

/// Group, epoch and position of each runner.
std::vector<std::string> Groups(entry_deployment& deployment) {
  std::vector<std::string> groups;
  for (const auto& runner : deployment.runners()) {
    const auto report = http_client(runner->Address()).Get("/v1/report").Json();
    groups.push_back(report.contains("group") ? report["group"].dump() : "none");
  }
  return groups;
}

/// Whether the log says that the VM holds the controller's role.
bool HoldsRole(const entry_deployment& deployment, std::size_t entry) {
  const std::size_t gained = deployment.LogLines("controller_gained", kEntryNames[entry]).size();
  return gained > deployment.LogLines("controller_lost", kEntryNames[entry]).size();
}

// Guards against two controllers, or groups that are formed anew, because the records of the lease
// or of the servers are older than the VMs know.
TEST_CASE("entry: after a restore of the store one controller goes on with the same groups",
          "[entry]") {
  entry_deployment deployment({.proxies = true});
  WaitUntilBothServe(deployment);
  deployment.SetFault(deployment.store(), "save_copy", true);
  SECTION("when the holder is the one in the copy") {
    std::this_thread::sleep_for(milliseconds(1500));
  }
  SECTION("when the copy names an earlier holder") {
    const std::size_t holder = HoldsRole(deployment, 0) ? 0 : 1;
    REQUIRE(HoldsRole(deployment, holder));
    deployment.Entry(holder).Pause();
    CHECK(WaitFor([&] { return HoldsRole(deployment, 1 - holder); }, milliseconds(6000)));
    deployment.Entry(holder).Continue();
    REQUIRE(WaitFor([&] { return !HoldsRole(deployment, holder); }, milliseconds(3000)));
    std::this_thread::sleep_for(milliseconds(1500));
  }
  const auto groups = Groups(deployment);
  CHECK(std::any_of(groups.begin(), groups.end(),
                    [](const std::string& group) { return group != "none"; }));

  RestoreStore(deployment);
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    CHECK(WaitFor(
        [&] {
          const auto stream = deployment.Stream(entry);
          return stream && stream->status == 200 && StatusAt(deployment, entry, "/lookup/x") == 200;
        },
        milliseconds(4000)));
  }
  const auto one_holds = [&] { return HoldsRole(deployment, 0) != HoldsRole(deployment, 1); };
  std::this_thread::sleep_for(kAfterRewriting);
  CHECK(WaitFor(one_holds, milliseconds(4000)));
  CHECK(Groups(deployment) == groups);
  for (const auto& runner : deployment.runners()) {
    CHECK(deployment.Records(*runner, "violations").empty());
  }
}

}  // namespace
}  // namespace waxwingwing::integration
