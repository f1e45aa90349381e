// P7: a call to a service that is not repeatable runs at most once for its idempotency key.
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <vector>

#include "tests/integration/invariants.h"
#include "tests/integration/request_callers.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr milliseconds kBound{10000};
constexpr int kKeys = 12;
constexpr int kCallersPerDomain = 4;
const std::string kFirst = "abeokuta-entry-0";
const std::string kSecond = "ifo-entry-0";

/// Two domains with an entry VM and a service each, and proxies on every path of the entry VMs.
deployment_settings TwoDomains(std::uint64_t service_ms) {
  deployment_settings settings;
  for (const char* id : {"abeokuta", "ifo"}) {
    domain_settings domain;
    domain.id = id;
    domain.services = 1;
    domain.entry_vms = 1;
    settings.domains.push_back(domain);
  }
  settings.service_flags = {"--service_ms=" + std::to_string(service_ms)};
  settings.entry_flags = {"--drain_grace_ms=500", "--first_byte_timeout_ms=2000"};
  settings.proxy_log = true;
  settings.proxy_backends = true;
  return settings;
}

desk_call Call(deployment& running, const std::string& entry, const std::string& key) {
  desk_call call;
  call.address = running.CallerAddress(entry);
  call.key = key;
  return call;
}

bool ReachesService(deployment& running, const std::string& key) {
  return WaitFor([&] { return RunsOf(running, key) == 1; }, kBound);
}

std::string Faults(const deployment& running) {
  return CheckRepeatedRuns(running.Records("service")).ToText();
}

/// Asks until the recorded outcome comes back.
bool ComesBackRecorded(deployment& running, const std::string& entry, const std::string& key) {
  return WaitFor(
      [&] {
        const auto answer = Send(Call(running, entry, key));
        return answer && answer->status == 200 && answer->Header("X-Idempotent-Replay") == "true";
      },
      kBound);
}

void RequireUnknown(const result<http_answer>& answer) {
  REQUIRE(answer);
  INFO(answer->body);
  REQUIRE(ErrorCode(*answer) == "outcome_unknown");
  REQUIRE(AttemptOf(answer->Json()) == "unknown");
}

TEST_CASE("the same key sent at once to two domains runs once and every caller gets its outcome",
          "[request][p7]") {
  deployment running(TwoDomains(50));
  StartDesk(running, 2);
  std::vector<std::vector<std::future<result<http_answer>>>> answers(kKeys);
  for (int key = 0; key < kKeys; ++key) {
    for (int caller = 0; caller < kCallersPerDomain; ++caller) {
      const std::string name = "same-" + std::to_string(key);
      answers[key].push_back(SendLater(Call(running, kFirst, name)));
      answers[key].push_back(SendLater(Call(running, kSecond, name)));
    }
  }
  for (auto& of_key : answers) {
    std::string body;
    for (auto& pending : of_key) {
      const auto answer = pending.get();
      REQUIRE(answer);
      INFO(answer->body);
      REQUIRE(answer->status == 200);
      if (body.empty()) body = answer->body;
      REQUIRE(answer->body == body);
    }
  }
  REQUIRE(Faults(running) == kNothing);
  desk_call other = Call(running, kSecond, "same-0");
  other.body = R"({"confirm":2})";
  const auto reused = Send(other);
  REQUIRE(reused);
  REQUIRE(ErrorCode(*reused) == "idempotency_key_reused");
  REQUIRE(RunsOf(running, "same-0") == 1);
}

TEST_CASE("the key of an entry VM killed in the middle of a call does not run again",
          "[request][p7]") {
  deployment running(TwoDomains(400));
  StartDesk(running, 2);
  auto cut = SendLater(Call(running, kFirst, "killed"));
  REQUIRE(ReachesService(running, "killed"));
  running.Kill(kFirst);
  REQUIRE_FALSE(cut.get());
  RequireUnknown(Send(Call(running, kSecond, "killed")));
  running.Restart(kFirst);
  const auto ready = [&] {
    const auto answer = http_client(running.CallerAddress(kFirst)).Send({"GET", "/readyz", {}, ""});
    return answer && answer->status == 200;
  };
  REQUIRE(WaitFor(ready, kBound));
  RequireUnknown(Send(Call(running, kFirst, "killed")));
  RequireUnknown(Send(Call(running, kSecond, "killed")));
  REQUIRE(Faults(running) == kNothing);
}

TEST_CASE("the key of a paused entry VM waits for its outcome and does not run again",
          "[request][p7]") {
  deployment running(TwoDomains(400));
  StartDesk(running, 2);
  auto paused = SendLater(Call(running, kFirst, "paused"));
  REQUIRE(ReachesService(running, "paused"));
  running.vm(kFirst).Pause();
  RequireUnknown(Send(Call(running, kSecond, "paused")));
  running.vm(kFirst).Continue();
  const auto answer = paused.get();
  REQUIRE(answer);
  INFO(answer->body);
  // The pause may be longer than the time-out of the call to the service.
  const bool known = answer->status == 200;
  if (known) {
    REQUIRE(ComesBackRecorded(running, kSecond, "paused"));
  } else {
    RequireUnknown(answer);
    RequireUnknown(Send(Call(running, kSecond, "paused")));
  }
  REQUIRE(Faults(running) == kNothing);
}

TEST_CASE("a claim that an entry VM learns to have won too late is released and runs once",
          "[request][p7]") {
  deployment running(TwoDomains(20));
  StartDesk(running, 2);
  SetFaults(running.LogProxy(kFirst), {{"freeze_from_target", true}});
  auto late = SendLater(Call(running, kFirst, "late"));
  const auto claims = [&] {
    return http_client(running.log().Address())
        .Get("/v1/streams/claims/records?from=0&limit=500")
        .body;
  };
  REQUIRE(WaitFor([&] { return claims().find("desk/late") != std::string::npos; }, kBound));
  RequireUnknown(Send(Call(running, kSecond, "late")));
  const auto refused = late.get();
  REQUIRE(refused);
  REQUIRE(AttemptOf(refused->Json()) == "unknown");
  REQUIRE(RunsOf(running, "late") == 0);
  SetFaults(running.LogProxy(kFirst), {{"freeze_from_target", false}});
  const auto runs = [&] {
    const auto answer = Send(Call(running, kSecond, "late"));
    return answer && answer->status == 200;
  };
  REQUIRE(WaitFor(runs, kBound));
  REQUIRE(ComesBackRecorded(running, kFirst, "late"));
  REQUIRE(Faults(running) == kNothing);
}

TEST_CASE("a call whose connection to the service is cut does not run again", "[request][p7]") {
  deployment running(TwoDomains(400));
  StartDesk(running, 2);
  auto cut = SendLater(Call(running, kFirst, "cut"));
  REQUIRE(ReachesService(running, "cut"));
  for (const std::string& service : running.VmIds("service")) {
    SetFaults(running.VmProxy(kFirst, service), {{"cut", true}});
  }
  RequireUnknown(cut.get());
  RequireUnknown(Send(Call(running, kSecond, "cut")));
  REQUIRE(Faults(running) == kNothing);
}

TEST_CASE("a call that finds every service dead is not run and its key stays free",
          "[request][p7][p6]") {
  // A proxy would accept connections for a dead service, and bytes might have been sent.
  deployment_settings settings = TwoDomains(20);
  settings.proxy_backends = false;
  deployment running(settings);
  StartDesk(running, 2);
  for (const std::string& service : running.VmIds("service")) running.Kill(service);
  // The first refusals come from connecting, the later ones from having no service to choose.
  for (const std::string& entry : {kFirst, kSecond, kFirst, kSecond}) {
    const auto refused = Send(Call(running, entry, "free"));
    REQUIRE(refused);
    INFO(refused->body);
    REQUIRE(AttemptOf(refused->Json()) == "not_run");
  }
  for (const std::string& service : running.VmIds("service")) running.Restart(service);
  const auto runs = [&] {
    const auto answer = Send(Call(running, kSecond, "free"));
    return answer && answer->status == 200;
  };
  REQUIRE(WaitFor(runs, kBound));
  REQUIRE(ComesBackRecorded(running, kFirst, "free"));
  REQUIRE(Faults(running) == kNothing);
}

TEST_CASE("a call whose answer the service or the path drops does not run again", "[request][p7]") {
  deployment running(TwoDomains(20));
  StartDesk(running, 2);
  for (const std::string& service : running.VmIds("service")) {
    SetFaults(running.vm(service), {{"drop_answers", 1}});
  }
  RequireUnknown(Send(Call(running, kFirst, "dropped")));
  REQUIRE(RunsOf(running, "dropped") == 1);
  RequireUnknown(Send(Call(running, kFirst, "dropped")));
  RequireUnknown(Send(Call(running, kSecond, "dropped")));
  for (const std::string& service : running.VmIds("service")) {
    SetFaults(running.VmProxy(kFirst, service), {{"freeze_from_target", true}});
  }
  RequireUnknown(Send(Call(running, kFirst, "frozen")));
  REQUIRE(RunsOf(running, "frozen") == 1);
  RequireUnknown(Send(Call(running, kSecond, "frozen")));
  REQUIRE(Faults(running) == kNothing);
}

TEST_CASE("calls that must not repeat are refused in a log outage and keep their outcomes",
          "[request][p7][p6]") {
  deployment running(TwoDomains(400));
  StartDesk(running, 2);
  auto begun = SendLater(Call(running, kFirst, "begun"));
  REQUIRE(ReachesService(running, "begun"));
  SetFaults(running.log(), {{"outage", true}});
  const auto answer = begun.get();
  REQUIRE(answer);
  REQUIRE(answer->status == 200);
  for (const std::string& entry : {kFirst, kSecond}) {
    const std::string key = "outage-" + entry;
    const auto refused = Send(Call(running, entry, key));
    REQUIRE(refused);
    INFO(refused->body);
    REQUIRE(ErrorCode(*refused) == "idempotency_unavailable");
    REQUIRE(RunsOf(running, key) == 0);
  }
  SetFaults(running.log(), {{"outage", false}});
  REQUIRE(ComesBackRecorded(running, kSecond, "begun"));
  for (const std::string& entry : {kFirst, kSecond}) {
    const auto runs = [&] {
      const auto again = Send(Call(running, entry, "outage-" + entry));
      return again && again->status == 200;
    };
    REQUIRE(WaitFor(runs, kBound));
  }
  REQUIRE(Faults(running) == kNothing);
}

TEST_CASE("lost answers of the log repeat no call and lose no outcome", "[request][p7]") {
  deployment running(TwoDomains(20));
  StartDesk(running, 2);
  for (int number = 0; number < 6; ++number) {
    const std::string key = "lost-" + std::to_string(number);
    SetFaults(running.log(), {{"lose_answers", 2}});
    auto first = SendLater(Call(running, kFirst, key));
    auto second = SendLater(Call(running, kSecond, key));
    for (auto* pending : {&first, &second}) {
      const auto answer = pending->get();
      REQUIRE(answer);
      INFO(answer->body);
      REQUIRE(answer->status == 200);
    }
    REQUIRE(ComesBackRecorded(running, kFirst, key));
  }
  REQUIRE(Faults(running) == kNothing);
}

}  // namespace
}  // namespace waxwingwing::integration
