// Recovery with real processes: entry VMs that start while the log is down.
#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/control_scenario.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

TEST_CASE("an entry VM that starts in a log outage gets its state from peers and serves",
          "[control][recovery]") {
  control_scenario scenario(OneDomain(4, 2));
  deployment& running = scenario.running();
  REQUIRE(scenario.PublishShare("ifo-entry-0", 2, "n2").status == 200);
  SetFaults(running.log(), {{"outage", true}});
  const std::int64_t outage_began = MonotonicMicros();
  running.Kill("ifo-entry-1");
  scenario.RestartEntry("ifo-entry-1");
  const std::string added = running.AddEntryVm("ifo");
  scenario.watch().Add(added, running.CallerAddress(added));
  REQUIRE(scenario.WaitForShare(running.VmIds("entry"), 2, kInForceBound));
  REQUIRE(scenario.WaitForReplicas(added, 2, kFewSeconds));
  REQUIRE(scenario.WaitForReplicas("ifo-entry-1", 2, kFewSeconds));
  // After 7 s the lease, and with it the credits, has ended. The restarted VM inherits its roster
  // slot and serves from its static share; the added one has no slot before the log is back.
  REQUIRE(WaitFor([&] { return MonotonicMicros() > outage_began + 7000000; }, milliseconds(8000)));
  const stream_answer inherited = Chat(running, "ifo-entry-1", "in the outage", 10);
  INFO(inherited.raw.status << " " << inherited.raw.body << inherited.failure);
  CHECK(IsWhole(inherited, "in the outage", 10));
  const std::uint64_t served = scenario.traffic().whole();
  CHECK(WaitFor([&] { return scenario.traffic().whole() > served + 10; }, kFewSeconds));
  SetFaults(running.log(), {{"outage", false}});
  REQUIRE(scenario.PublishShare(added, 3, "n3").status == 200);
  REQUIRE(scenario.WaitForShare(running.VmIds("entry"), 3, kInForceBound));
  for (const std::string& entry : {std::string("ifo-entry-1"), added}) {
    const stream_answer answer = Chat(running, entry, "after the outage", 10);
    INFO(entry << " " << answer.raw.status << " " << answer.raw.body << answer.failure);
    CHECK(IsWhole(answer, "after the outage", 10));
  }
  scenario.Finish();
}

}  // namespace
}  // namespace waxwingwing::integration
