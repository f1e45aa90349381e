// A configuration of many routes, at a store that sends slowly to many VMs.
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr std::size_t kEntries = 6;
constexpr milliseconds kInForceLimit{2000};
/// One VM gets the large configuration in a fifth of a second, all six in more than a second.
constexpr std::uint64_t kStoreBytesPerSecond = std::uint64_t{5} << 20U;
constexpr std::size_t kRoutes = 5000;

/// A configuration of about a megabyte, with the route `/added/`.
nlohmann::json LargeConfiguration(const entry_deployment& deployment, std::uint64_t version) {
  auto configuration = deployment.Configuration(version);
  auto route = configuration["routes"][2];
  for (std::size_t i = 0; i < kRoutes; ++i) {
    route["name"] = "idle-" + std::to_string(i);
    route["path_prefix"] = "/idle-" + std::to_string(i) + "/";
    configuration["routes"].push_back(route);
  }
  route["name"] = "added";
  route["path_prefix"] = "/added/";
  configuration["routes"].push_back(route);
  return configuration;
}

bool IsInForce(const entry_deployment& deployment, std::size_t entry) {
  const auto answer = deployment.CallAt(entry, "GET", "/added/x");
  return answer && answer->status == 200;
}

// Guards against versions that are in force too late: all VMs read a large record at one moment,
// gave up before it had arrived and began again from nothing, so that none of them ever had it.
TEST_CASE("entry: a large configuration is in force at all VMs in time", "[entry]") {
  entry_deployment deployment({});
  for (std::size_t i = 1; i < kEntries; ++i) deployment.AddEntry("entry-" + std::to_string(i + 1));
  deployment.WaitUntilServing();
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    REQUIRE(WaitFor(
        [&] {
          const auto answer = deployment.CallAt(entry, "GET", "/lookup/x");
          return answer && answer->status == 200;
        },
        milliseconds(10000)));
  }
  deployment.SetFault(deployment.store(), "bytes_per_s", kStoreBytesPerSecond);
  deployment.WriteConfiguration(LargeConfiguration(deployment, 2));
  const auto written_at = std::chrono::steady_clock::now();
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    INFO(entry);
    CHECK(WaitFor([&] { return IsInForce(deployment, entry); }, kInForceLimit));
  }
  CHECK(std::chrono::steady_clock::now() - written_at < kInForceLimit);
}

}  // namespace
}  // namespace waxwingwing::integration
