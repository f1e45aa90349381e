// Tests of the parts of `deployment` that need no entry VM.
#include "tests/integration/deployment.h"

#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr milliseconds kBound{10000};

deployment_settings TwoDomains() {
  deployment_settings settings;
  settings.domains.push_back({"ifo", "ogun-west", 2, 3, 1, 0});
  settings.domains.push_back({"sagamu", "ogun-west", 1, 1, 0, 0});
  return settings;
}

json ListedVm(child_process& vm_list, const std::string& id) {
  const json listed = http_client(vm_list.Address()).Get("/v1/vms").Json().at("vms");
  for (const json& entry : listed) {
    if (entry.at("id") == id) return entry;
  }
  return nullptr;
}

TEST_CASE("a deployment lists its VMs by domain and fabric domain", "[harness]") {
  deployment platform(TwoDomains());
  REQUIRE(platform.VmIds("engine").size() == 4);
  REQUIRE(platform.VmIds("engine", "sagamu") == std::vector<std::string>{"sagamu-engine-0"});
  const json third = ListedVm(platform.vm_list(), "ifo-engine-2");
  REQUIRE(third.at("fabric_domain") == "ifo-fabric-0");
  REQUIRE(third.at("address") == platform.vm("ifo-engine-2").Address());
  REQUIRE(ListedVm(platform.vm_list(), "ifo-service-0").at("service") == "desk");
  platform.ChangeEntry("ifo-engine-2", {{"state", "leaving"}});
  REQUIRE(ListedVm(platform.vm_list(), "ifo-engine-2").at("state") == "leaving");
  platform.RemoveFromVmLists("ifo-engine-2");
  REQUIRE(ListedVm(platform.vm_list(), "ifo-engine-2").is_null());
}

TEST_CASE("a restarted VM has a new incarnation and keeps the records of its first run",
          "[harness]") {
  deployment platform(TwoDomains());
  platform.Kill("sagamu-engine-0");
  platform.Restart("sagamu-engine-0");
  const json listed = ListedVm(platform.vm_list(), "sagamu-engine-0");
  REQUIRE(listed.at("address") == platform.vm("sagamu-engine-0").Address());
  std::vector<vm_records> runs;
  for (const vm_records& run : platform.Records("engine")) {
    if (run.vm == "sagamu-engine-0") runs.push_back(run);
  }
  REQUIRE(runs.size() == 2);
  REQUIRE(runs[0].ended_at_us.has_value());
  REQUIRE_FALSE(runs[1].ended_at_us.has_value());
  REQUIRE(runs[0].List("incarnations").at(0).at("incarnation") !=
          runs[1].List("incarnations").at(0).at("incarnation"));
}

TEST_CASE("a paused VM is silent from the pause on", "[harness]") {
  deployment platform(TwoDomains());
  const auto silent_since = [&] {
    for (const vm_records& run : platform.Records("engine")) {
      if (run.vm == "sagamu-engine-0") return run.SilentSince(MonotonicMicros());
    }
    return std::optional<std::int64_t>();
  };
  REQUIRE_FALSE(silent_since().has_value());
  platform.vm("sagamu-engine-0").Pause();
  REQUIRE(silent_since().has_value());
  platform.vm("sagamu-engine-0").Continue();
  REQUIRE_FALSE(silent_since().has_value());
  SetFaults(platform.vm("sagamu-engine-0"), {{"freeze", true}});
  REQUIRE(silent_since().has_value());
}

TEST_CASE("a view shows proxies in front of VMs and keeps them while the address stays",
          "[harness]") {
  // Tests cut the path between one entry VM and one backend server through these proxies.
  platform_processes processes;
  const auto service = processes.StartStandIn("plain_service", "service");
  vm_view view(processes, "view", {});
  const json entry = {{"id", "s1"}, {"address", service->Address()}, {"state", "live"}};
  view.Put(entry, true);
  const std::string address = ListedVm(view.vm_list(), "s1").at("address").get<std::string>();
  REQUIRE(address != service->Address());
  REQUIRE(http_client(address).Get("/v1/status").status == 200);
  view.Put(entry, true);
  REQUIRE(ListedVm(view.vm_list(), "s1").at("address") == address);
  SetFaults(view.Proxy("s1"), {{"cut", true}});
  REQUIRE_FALSE(http_client(address).Send({"GET", "/v1/status", {}, ""}));
  REQUIRE(http_client(service->Address()).Get("/v1/status").status == 200);
}

TEST_CASE("the VM list shows a change after its lag", "[harness]") {
  deployment_settings settings = TwoDomains();
  settings.vm_list_flags = {"--lag_ms=300"};
  deployment platform(settings);
  const auto listed = [&] { return !ListedVm(platform.vm_list(), "ifo-engine-0").is_null(); };
  REQUIRE(WaitFor(listed, kBound));
  const std::int64_t removed_at_us = MonotonicMicros();
  platform.RemoveFromVmLists("ifo-engine-0");
  REQUIRE(WaitFor([&] { return !listed(); }, kBound));
  REQUIRE(MonotonicMicros() - removed_at_us >= 300'000);
}

}  // namespace
}  // namespace waxwingwing::integration
