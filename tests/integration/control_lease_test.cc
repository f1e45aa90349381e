// P2 with real processes: no VM is in two groups, whatever happens to the lease holder.
#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/control_scenario.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr milliseconds kRepairBound{8000};
/// The lease time and the time for which an order may be on its way.
constexpr milliseconds kOrdersOver{8000};

/// For requests, orders and polls of the holder, in each direction.
constexpr milliseconds kPathDelay{900};

deployment_settings Engines(bool check_fencing) {
  deployment_settings settings = OneDomain();
  settings.proxy_log = true;
  settings.proxy_backends = true;
  settings.proxy_peers = true;
  if (check_fencing) CheckFencingNumbers(settings);
  return settings;
}

/// Guards against a holder that acts on a lease that ended while its process was stopped.
void PauseHolder(bool check_fencing) {
  control_scenario scenario(Engines(check_fencing));
  deployment& running = scenario.running();
  const std::string holder = scenario.Holder("ifo-entry-0");
  const std::string other = scenario.OtherEntry(holder);
  const std::string victim = scenario.ServingMember(other);
  // The holder has a repair to make when it stops, so that it wants to send orders afterwards.
  running.Kill(victim);
  running.vm(holder).Pause();
  REQUIRE(scenario.WaitForTakeover(holder));
  REQUIRE(scenario.WaitForRepair(other, victim, 2, kRepairBound));
  const std::string second = scenario.ServingMember(other);
  running.Kill(second);
  running.vm(holder).Continue();
  REQUIRE(WaitFor([&] { return scenario.Holder(holder) == other; }, kFewSeconds));
  REQUIRE(scenario.WaitForRepair(holder, second, 2, kRepairBound));
  scenario.Finish();
  CHECK_THAT(CheckTermOverlap(running).ToText(), Catch::Equals(""));
}

TEST_CASE("a paused lease holder sends no order in its successor's term", "[control][p2]") {
  PauseHolder(false);
}

TEST_CASE("a paused lease holder is harmless to engines that check fencing numbers",
          "[control][p2]") {
  PauseHolder(true);
}

/// Guards against a holder that neither reads the log nor hears of its successor from a peer, and
/// sends orders after its term.
void CutHolderOff(bool check_fencing) {
  control_scenario scenario(Engines(check_fencing));
  deployment& running = scenario.running();
  const std::string holder = scenario.Holder("ifo-entry-0");
  const std::string other = scenario.OtherEntry(holder);
  SetFaults(running.LogProxy(holder), {{"cut", true}});
  scenario.CutPeers(holder, true);
  REQUIRE(scenario.WaitForTakeover(holder));
  // Both see the loss of this member and would repair its replica.
  const std::string victim = scenario.ServingMember(other);
  running.Kill(victim);
  REQUIRE(scenario.WaitForRepair(other, victim, 2, kRepairBound));
  SetFaults(running.LogProxy(holder), {{"cut", false}});
  scenario.CutPeers(holder, false);
  REQUIRE(scenario.WaitForRepair(holder, victim, 2, kRepairBound));
  scenario.Finish();
  if (!check_fencing) CHECK_THAT(CheckTermOverlap(running).ToText(), Catch::Equals(""));
}

TEST_CASE("a lease holder that is cut off from the log sends no order after its term",
          "[control][p2]") {
  CutHolderOff(false);
}

TEST_CASE("a cut off lease holder does not undo repairs on engines that check fencing numbers",
          "[control][p2]") {
  CutHolderOff(true);
}

TEST_CASE("in a log outage orders stop with the lease where engines ignore fencing numbers",
          "[control][p2]") {
  control_scenario scenario(Engines(false));
  deployment& running = scenario.running();
  const std::string entry = "ifo-entry-0";
  SetFaults(running.log(), {{"outage", true}});
  const std::int64_t over_us = MonotonicMicros() + microseconds(kOrdersOver).count();
  REQUIRE(WaitFor([&] { return MonotonicMicros() > over_us; }, kOrdersOver * 2));
  running.Kill(scenario.ServingMember(entry));
  REQUIRE(WaitFor([&] { return ServingReplicas(running, entry) == 1; }, kFewSeconds));
  // The same time in which a holder with a lease repairs.
  const bool repaired = scenario.WaitForReplicas(entry, 2, milliseconds(4000));
  CHECK_FALSE(repaired);
  const std::int64_t end_us = MonotonicMicros();
  CHECK(OrdersObeyed(running.Records("engine"), over_us, end_us) == 0);
  SetFaults(running.log(), {{"outage", false}});
  REQUIRE(scenario.WaitForReplicas(entry, 2, kRepairBound + kOrdersOver));
  scenario.Finish();
  CHECK_THAT(CheckTermOverlap(running).ToText(), Catch::Equals(""));
}

TEST_CASE("in a log outage repair goes on where engines check fencing numbers", "[control][p2]") {
  control_scenario scenario(Engines(true));
  deployment& running = scenario.running();
  const std::string entry = "ifo-entry-0";
  SetFaults(running.log(), {{"outage", true}});
  const std::int64_t over_us = MonotonicMicros() + microseconds(kOrdersOver).count();
  REQUIRE(WaitFor([&] { return MonotonicMicros() > over_us; }, kOrdersOver * 2));
  const std::string victim = scenario.ServingMember(entry);
  running.Kill(victim);
  REQUIRE(scenario.WaitForRepair(entry, victim, 2, kRepairBound));
  SetFaults(running.log(), {{"outage", false}});
  scenario.Finish();
}

/// Guards against a successor that orders while orders of the dead holder are still on their way.
void KillHolder(bool check_fencing) {
  control_scenario scenario(Engines(check_fencing));
  deployment& running = scenario.running();
  const std::string holder = scenario.Holder("ifo-entry-0");
  const std::string other = scenario.OtherEntry(holder);
  for (const std::string& engine : running.VmIds("engine")) {
    SetFaults(running.VmProxy(holder, engine), {{"delay_ms", kPathDelay.count()}});
  }
  SetFaults(running.log(), {{"lose_answers", 3}});
  const std::string victim = scenario.ServingMember(other);
  running.Kill(victim);
  REQUIRE(WaitFor([&] { return !scenario.IsServing(other, victim); }, kFewSeconds));
  running.Kill(holder);
  REQUIRE(scenario.WaitForTakeover(holder));
  REQUIRE(scenario.WaitForRepair(other, victim, 2, kRepairBound));
  scenario.Finish(kPathDelay);
  CHECK_THAT(CheckTermOverlap(running).ToText(), Catch::Equals(""));
}

TEST_CASE("a takeover with delayed orders and lost answers puts no VM in two groups",
          "[control][p2]") {
  KillHolder(false);
}

TEST_CASE("a takeover with delayed orders is safe with engines that check fencing numbers",
          "[control][p2]") {
  KillHolder(true);
}

}  // namespace
}  // namespace waxwingwing::integration
