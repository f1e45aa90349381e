// P8 with real processes: an engine VM that the VM list shows as leaving gets no new work.
#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/control_scenario.h"
#include "tests/integration/invariants.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

TEST_CASE("a leaving engine VM gets no new work and its replica is replaced", "[control][p8]") {
  control_scenario scenario(OneDomain());
  deployment& running = scenario.running();
  const std::string entry = "ifo-entry-0";
  const std::string leaving = scenario.ServingMember(entry, 0);
  running.ChangeEntry(leaving, {{"state", "leaving"}});
  const std::int64_t over_us = MonotonicMicros() + microseconds(kFewSeconds).count();
  REQUIRE(WaitFor([&] { return MonotonicMicros() > over_us + 3'000'000; }, 2 * kFewSeconds));
  const std::uint64_t served = scenario.traffic().whole();
  REQUIRE(scenario.WaitForReplicas(entry, 2, kFewSeconds));
  REQUIRE(WaitFor([&] { return scenario.traffic().whole() > served + 10; }, kFewSeconds));
  scenario.Finish();
  CHECK_THAT(CheckNewWork(running.Records("engine"), {leaving}, over_us).ToText(),
             Catch::Equals(""));
}

}  // namespace
}  // namespace waxwingwing::integration
