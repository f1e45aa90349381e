// Entries that another writer left among the registrations of servers.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/platform_processes.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

nlohmann::json Registration() {
  return {{"service", "pool"},
          {"addr", "127.0.0.1:9"},
          {"zone", "ifo"},
          {"version", "v1"},
          {"slots", 26},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"domain", "ifo-d0"},
          {"staged", {"large"}},
          {"born", 1700000000000},
          {"models", {{{"name", "large"}, {"version", 1}}}},
          {"seq", 4}};
}

nlohmann::json With(const std::string& field, const nlohmann::json& value) {
  nlohmann::json registration = Registration();
  registration[field] = value;
  return registration;
}

nlohmann::json Group(std::uint64_t epoch, std::uint64_t rank) {
  return {{"name", "other"}, {"epoch", epoch}, {"rank", rank}, {"state", "open"}};
}

std::vector<std::string> OddEntries() {
  constexpr std::uint64_t largest = ~std::uint64_t{0};
  std::string nested = Registration().dump();
  nested.insert(1, "\"models\":" + std::string(50000, '[') + std::string(50000, ']') + ",");
  std::string infinite = Registration().dump();
  infinite.insert(1, "\"weight\":1e999,");
  return {nested,
          std::string(100000, '{'),
          infinite,
          "\xff\xfe",
          With("cold_left_ms", 1e300).dump(),
          With("slots", largest).dump(),
          With("seq", largest).dump(),
          With("born", largest).dump(),
          With("group", Group(largest, 0)).dump(),
          With("group", Group(9, 1000000)).dump(),
          With("addr", "127.0.0.1:65536").dump(),
          With("addr", "127.0.0.1:0").dump(),
          With("addr", "127.0.0.1:99999999999999999999").dump()};
}

// Guards against VMs that end, or that no longer follow the list of servers, because of one entry
// that no server wrote.
TEST_CASE("entry: an odd entry among the registrations changes nothing for the others", "[entry]") {
  entry_deployment deployment({.runners = 3, .services = 2});
  deployment.WaitUntilServing();
  const std::vector<std::string> entries = OddEntries();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    deployment.WriteRegistration("odd-" + std::to_string(i), entries[i]);
  }
  SECTION("that a VM reads when it follows the list") {}
  SECTION("that a VM finds when it starts") {
    deployment.entry().Kill();
    deployment.RestartEntry(0);
  }
  deployment.WaitUntilServing();
  deployment.Member().Kill();
  CHECK(
      WaitFor([&] { return !deployment.LogLines("server_removed").empty(); }, milliseconds(8000)));
  deployment.SetFault(deployment.service(), "drain", true);
  CHECK(WaitFor(
      [&] {
        const std::size_t before = deployment.Records(deployment.service(), "runs").size();
        for (int i = 0; i < 10; ++i) {
          if (!deployment.Call("GET", "/lookup/x")) return false;
        }
        return deployment.Records(deployment.service(), "runs").size() == before;
      },
      milliseconds(5000)));
  CHECK(WaitFor(
      [&] {
        const auto stream = deployment.Stream();
        return stream && stream->status == 200;
      },
      milliseconds(8000)));
  CHECK(deployment.entry().Running());
}

// Guards against VMs that never start again: the store continues its list after the key of another
// writer's entry, which cannot be written into a request line as it is.
TEST_CASE("entry: a VM starts although a page of the list ends with a key that needs encoding",
          "[entry]") {
  entry_deployment deployment({.runners = 2});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.store(), "page_size", 1);
  // The store removes entries that are not written again.
  const std::jthread writer([&](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      for (const char* key : {"desk 1 of 2", "rack 5&after=z slot 7", "runner-0#%\xc3\xa9"}) {
        deployment.WriteRegistration(key, R"({"kind":"inventory"})");
      }
      std::this_thread::sleep_for(milliseconds(200));
    }
  });
  std::this_thread::sleep_for(milliseconds(500));
  deployment.entry().Kill();
  deployment.RestartEntry(0);
  CHECK_NOTHROW(deployment.WaitUntilServing());
}

/// Time of the VM's last log line of this event with this value of `member`; empty when there is
/// none.
std::optional<std::int64_t> TimeOfLast(const entry_deployment& deployment, const std::string& event,
                                       const std::string& member, const std::string& value) {
  std::optional<std::int64_t> time;
  for (const auto& line : deployment.LogLines(event)) {
    if (line[member] == value) time = line["t_ms"].get<std::int64_t>();
  }
  return time;
}

// Guards against sending requests to a server that left some seconds after this VM had reached the
// store again, because its removal is taken for an effect of the time before.
TEST_CASE("entry: a removal after the store was away is delayed only until servers are back",
          "[entry]") {
  entry_deployment deployment({.proxies = true});
  deployment.WaitUntilServing();
  nlohmann::json leaving = With("service", "desk");
  leaving["domain"] = "";
  std::uint64_t number = 0;
  // The store removes entries that are not written again.
  const auto keep_registered = [&](const auto& is_enough) {
    return WaitFor(
        [&] {
          leaving["seq"] = ++number;
          deployment.WriteRegistration("leaving", leaving.dump());
          return is_enough();
        },
        milliseconds(9000));
  };
  REQUIRE(keep_registered(
      [&] { return TimeOfLast(deployment, "server_changed", "server", "leaving").has_value(); }));
  const auto regained = [&] {
    return TimeOfLast(deployment, "dependency_regained", "dependency", "server_registrations");
  };
  const auto regained_before = regained();
  SetFaults(deployment.ProxyOf("store"), {{"cut", true}});
  const auto end_of_cut = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  keep_registered([&] { return std::chrono::steady_clock::now() > end_of_cut; });
  SetFaults(deployment.ProxyOf("store"), {{"cut", false}});
  REQUIRE(keep_registered([&] { return regained() != regained_before; }));
  const auto leaves_at = std::chrono::steady_clock::now() + std::chrono::seconds(1);
  keep_registered([&] { return std::chrono::steady_clock::now() > leaves_at; });
  deployment.WriteRegistration("leaving", "");
  const auto removed = [&] {
    return TimeOfLast(deployment, "server_removed", "server", "leaving");
  };
  REQUIRE(WaitFor([&] { return removed().has_value(); }, milliseconds(6000)));
  // Servers are back 2.5 s after the store; a read that finds nothing new takes 0.3 s.
  CHECK(*removed() - *regained() < 3400);
}

}  // namespace
}  // namespace waxwingwing::integration
