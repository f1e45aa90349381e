// Servers that state in their answers what they want of the VMs.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "tests/integration/entry_deployment.h"
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
  SECTION("also when it does not say so again") {
    deployment.SetFault(leaving, "leaving", false);
  }
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

}  // namespace
}  // namespace waxwingwing::integration
