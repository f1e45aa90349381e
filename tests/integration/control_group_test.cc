// P1 with real processes: no partial group serves, and a group that lost a member serves again.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/control_scenario.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr milliseconds kRepairBound{10000};
constexpr double kBytesPerSecond = 2'000'000;
constexpr double kLoadBytes = 2'000'000;
/// Report age and relay (section 5 of the design).
constexpr double kDetectionSeconds = 2.5;

/// A load takes long enough for requests to meet a member that is not ready.
deployment_settings SlowLoads() {
  deployment_settings settings = OneDomain();
  settings.engine_flags = {"--load_bytes=2000000", "--ms_per_token=2", "--warm_up_ms=1000"};
  settings.weight_store_flags = {"--bytes_per_second=2000000"};
  return settings;
}

TEST_CASE("a replica that lost a member serves again only when it is whole", "[control][p1]") {
  control_scenario scenario(SlowLoads());
  deployment& running = scenario.running();
  const std::string entry = "ifo-entry-0";
  const std::string dead = scenario.ServingMember(entry);
  const std::int64_t died_us = MonotonicMicros();
  running.Kill(dead);
  REQUIRE(scenario.WaitForReplicas(entry, 1, milliseconds(2500)));
  const double seen = static_cast<double>(MonotonicMicros() - died_us) / 1e6;
  REQUIRE(scenario.WaitForReplicas(entry, 2, kRepairBound));
  const double served = static_cast<double>(MonotonicMicros() - died_us) / 1e6;
  const double expected = kDetectionSeconds + kLoadBytes / kBytesPerSecond;
  WARN(
      fmt::format("death of a member: unroutable after {:.2f} s, serving again after {:.2f} s; "
                  "detection plus load time {:.2f} s",
                  seen, served, expected));
  // Planning and reports add to detection and load: two ticks and two polls with their relay.
  CHECK(served < expected + 3);
  scenario.Finish();
}

TEST_CASE("no partial group serves while members pause, freeze and restart", "[control][p1]") {
  control_scenario scenario(SlowLoads());
  deployment& running = scenario.running();
  const std::string entry = "ifo-entry-1";
  const std::string paused = scenario.ServingMember(entry);
  running.vm(paused).Pause();
  REQUIRE(scenario.WaitForReplicas(entry, 1, milliseconds(2500)));
  REQUIRE(scenario.WaitForReplicas(entry, 2, kRepairBound));
  running.vm(paused).Continue();
  const std::string frozen = scenario.ServingMember(entry, 0);
  SetFaults(running.vm(frozen), {{"freeze", true}});
  REQUIRE(scenario.WaitForReplicas(entry, 1, milliseconds(2500)));
  REQUIRE(scenario.WaitForReplicas(entry, 2, kRepairBound));
  SetFaults(running.vm(frozen), {{"freeze", false}});
  // The new process holds no assignment and no weights.
  const std::string restarted = scenario.ServingMember(entry);
  running.Kill(restarted);
  running.Restart(restarted);
  REQUIRE(WaitFor([&] { return ServingReplicas(running, entry) < 2; }, milliseconds(2500)));
  REQUIRE(scenario.WaitForReplicas(entry, 2, kRepairBound));
  scenario.Finish();
}

}  // namespace
}  // namespace waxwingwing::integration
