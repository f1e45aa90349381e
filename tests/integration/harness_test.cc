// Tests of the harness: processes end with their owner, and the invariants find what they are for.
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "tests/integration/deployment.h"
#include "tests/integration/event_stream.h"
#include "tests/integration/free_address.h"
#include "tests/integration/invariants.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr milliseconds kBound{10000};

/// Whether the process exists and is not a zombie, which no signal would end.
bool Runs(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  if (!std::getline(stat, text)) return false;
  const std::size_t state = text.rfind(')') + 2;
  return state < text.size() && text[state] != 'Z';
}

/// A platform with engines and services but no entry VM, so the test forms the replica itself.
class hand_made_platform {
 public:
  hand_made_platform() : platform_(Settings()) {}

  deployment& platform() { return platform_; }
  http_client Client(const std::string& vm) { return http_client(platform_.vm(vm).Address()); }

  /// Orders both engines of the domain to be members of the replica and waits until they are.
  void Form(const std::string& replica, std::uint64_t generation) {
    json members = json::array();
    for (const std::string& vm : members_) {
      members.push_back({{"vm", vm}, {"address", platform_.vm(vm).Address()}});
    }
    for (std::size_t rank = 0; rank < members_.size(); ++rank) {
      Client(members_[rank])
          .Post("/v1/orders", Order("assign", replica, generation, rank, members));
    }
    for (const std::string& vm : members_) {
      const auto ready = [&] { return Client(vm).Get("/v1/status").Json()["state"] == "ready"; };
      REQUIRE(WaitFor(ready, kBound));
    }
  }

  void Release(const std::string& vm, const std::string& replica, std::uint64_t generation) {
    Client(vm).Post("/v1/orders", Order("release", replica, generation, 0, json::array()));
  }

  /// Sends a request to the leader; returns the status.
  unsigned Ask(const std::string& replica, std::uint64_t generation) {
    const json body = {{"messages", json::array({{{"role", "user"}, {"content", "question"}}})},
                       {"max_tokens", 2}};
    return Client(members_[0])
        .Post("/v1/chat/completions", body,
              {{"X-Replica", replica}, {"X-Generation", std::to_string(generation)}})
        .status;
  }

 private:
  static deployment_settings Settings() {
    deployment_settings settings;
    settings.domains.push_back({"ifo", "ogun-west", 1, 2, 2, 0});
    settings.engine_flags = {"--load_bytes=1000"};
    return settings;
  }

  static json Order(const std::string& kind, const std::string& replica, std::uint64_t generation,
                    std::size_t rank, const json& members) {
    return {{"order_id", "o"},    {"fencing_number", 1}, {"kind", kind},
            {"replica", replica}, {"model_group", "g1"}, {"generation", generation},
            {"rank", rank},       {"model", "m1"},       {"members", members}};
  }

  const std::vector<std::string> members_ = {"ifo-engine-0", "ifo-engine-1"};
  deployment platform_;
};

TEST_CASE("a child process ends with its owner", "[harness]") {
  // Processes that a failed test leaves behind would disturb all later runs.
  platform_processes processes;
  pid_t pid = -1;
  {
    const auto log = processes.StartStandIn("log", "log");
    log->Address();
    log->Pause();
    pid = log->pid();
    REQUIRE(Runs(pid));
  }
  REQUIRE_FALSE(Runs(pid));
}

TEST_CASE("a child process ends when the process that started it is killed", "[harness]") {
  // No destructor runs when the tests crash.
  platform_processes processes;
  const std::string script = std::string(CHILD_LAUNCHER_PROGRAM) + " $$ " + STAND_INS_PROGRAM +
                             R"( log >/dev/null & echo "{\"pid\":$!}"; wait)";
  child_process starter("starter", "/bin/sh", {"-c", script}, processes.folder());
  const pid_t pid = starter.ListeningLine().at("pid").get<pid_t>();
  REQUIRE(Runs(pid));
  starter.Kill();
  REQUIRE(WaitFor([&] { return !Runs(pid); }, kBound));
}

// Guards against giving one entry VM the same port for two of its listeners.
TEST_CASE("a process gets no address twice", "[harness]") {
  std::set<std::string> addresses;
  for (int i = 0; i < 1000; ++i) CHECK(addresses.insert(FreeAddress()).second);
}

TEST_CASE("a program that does not start is reported with its name", "[harness]") {
  platform_processes processes;
  const auto unknown = processes.StartStandIn("no_such_kind", "unknown");
  REQUIRE_THROWS_WITH(unknown->Address(), Catch::Contains("no_such_kind"));
}

TEST_CASE("a healthy replica violates no invariant", "[harness]") {
  hand_made_platform hand_made;
  hand_made.Form("r1", 1);
  REQUIRE(hand_made.Ask("r1", 1) == 200);
  const auto engines = hand_made.platform().Records("engine");
  partial_group_bounds bounds;
  bounds.vms_per_replica["g1"] = 2;
  REQUIRE(CheckPartialGroups(engines, bounds).ToText().empty());
  REQUIRE(CheckDoubleMembership(engines).ToText().empty());
  REQUIRE(CheckOverload(engines, milliseconds(0)).ToText().empty());
  bounds.vms_per_replica["g1"] = 3;
  REQUIRE(CheckPartialGroups(engines, bounds).all().size() == 1);
}

TEST_CASE("a request to a replica with a released member is found", "[harness]") {
  hand_made_platform hand_made;
  hand_made.Form("r1", 1);
  hand_made.Release("ifo-engine-1", "r1", 1);
  REQUIRE(hand_made.Ask("r1", 1) == 200);
  REQUIRE(CheckPartialGroups(hand_made.platform().Records("engine")).all().size() == 1);
}

TEST_CASE("a request to a replica with a dead member is found after the bound", "[harness]") {
  hand_made_platform hand_made;
  hand_made.Form("r1", 1);
  hand_made.platform().Kill("ifo-engine-1");
  REQUIRE(hand_made.Ask("r1", 1) == 200);
  const auto engines = hand_made.platform().Records("engine");
  partial_group_bounds bounds;
  bounds.silent_member = kBound;
  REQUIRE(CheckPartialGroups(engines, bounds).empty());
  bounds.silent_member = milliseconds(0);
  REQUIRE(CheckPartialGroups(engines, bounds).all().size() == 1);
}

TEST_CASE("two replicas that share a VM are found", "[harness]") {
  hand_made_platform hand_made;
  hand_made.Form("r1", 1);
  REQUIRE(hand_made.Ask("r1", 1) == 200);
  hand_made.Form("r2", 1);
  REQUIRE(hand_made.Ask("r2", 1) == 200);
  REQUIRE(CheckDoubleMembership(hand_made.platform().Records("engine")).empty());
  hand_made.Form("r1", 1);
  REQUIRE(hand_made.Ask("r1", 1) == 200);
  // One finding for each of the two VMs.
  REQUIRE(CheckDoubleMembership(hand_made.platform().Records("engine")).all().size() == 2);
}

TEST_CASE("a key that ran twice and work after a point in time are found", "[harness]") {
  hand_made_platform hand_made;
  const header_list headers = {{"Idempotency-Key", "k1"}, {"X-Organisation", "acme"}};
  hand_made.Client("ifo-service-0").Post("/v1/refund", "body", headers);
  REQUIRE(CheckRepeatedRuns(hand_made.platform().Records("service")).empty());
  const std::int64_t after_us = MonotonicMicros();
  hand_made.Client("ifo-service-1").Post("/v1/refund", "body", headers);
  const auto services = hand_made.platform().Records("service");
  REQUIRE(CheckRepeatedRuns(services).all().size() == 1);
  REQUIRE(CheckNewWork(services, {"ifo-service-0"}, after_us).empty());
  REQUIRE(CheckNewWork(services, {"ifo-service-1"}, after_us).all().size() == 1);
}

TEST_CASE("more requests than an engine bears are found", "[harness]") {
  deployment_settings settings;
  settings.domains.push_back({"ifo", "ogun-west", 1, 1, 0, 0});
  settings.engine_flags = {"--cold_requests=1", "--warm_up_ms=600000", "--ms_per_token=50"};
  deployment platform(settings);
  const std::string address = platform.vm("ifo-engine-0").Address();
  const json order = {{"fencing_number", 1},
                      {"kind", "assign"},
                      {"replica", "r1"},
                      {"generation", 1},
                      {"model", "m1"}};
  http_client(address).Post("/v1/orders", order);
  const auto ready = [&] {
    return http_client(address).Get("/v1/status").Json()["state"] == "ready";
  };
  REQUIRE(WaitFor(ready, kBound));
  const json body = {{"messages", json::array({{{"role", "user"}, {"content", "question"}}})},
                     {"max_tokens", 1000},
                     {"stream", true}};
  const header_list headers = {{"X-Replica", "r1"}, {"X-Generation", "1"}};
  event_stream first(address, "/v1/chat/completions", headers, body);
  REQUIRE(first.ReadTokens(1));
  REQUIRE(CheckOverload(platform.Records("engine"), milliseconds(0)).empty());
  event_stream second(address, "/v1/chat/completions", headers, body);
  REQUIRE(second.ReadTokens(1));
  REQUIRE(CheckOverload(platform.Records("engine"), milliseconds(0)).all().size() == 1);
}

}  // namespace
}  // namespace waxwingwing::integration
