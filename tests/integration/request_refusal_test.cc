// P6: a refusal that says "not_run" is true, as the records of engines and services show.
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/invariants.h"
#include "tests/integration/request_callers.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

const std::vector<std::string> kEntries = {"ifo-entry-0", "ifo-entry-1"};

deployment_settings OneDomain() {
  deployment_settings settings;
  domain_settings domain;
  domain.id = "ifo";
  domain.engines = 4;
  domain.services = 1;
  domain.entry_vms = 2;
  settings.domains.push_back(domain);
  settings.engine_flags = {"--ms_per_token=10", "--max_requests=4", "--warm_up_ms=500"};
  settings.service_flags = {"--service_ms=100"};
  settings.entry_flags = {"--drain_grace_ms=500", "--first_byte_timeout_ms=1000"};
  settings.proxy_backends = true;
  return settings;
}

void Start(deployment& running) {
  const json limits = {{"max_requests", 4}, {"warm_up_ms", 500}};
  StartServing(running, NoteWithModelGroup(running, "n1", limits), 2);
}

std::vector<std::string> Addresses(deployment& running) {
  std::vector<std::string> addresses;
  addresses.reserve(kEntries.size());
  for (const std::string& entry : kEntries) addresses.push_back(running.CallerAddress(entry));
  return addresses;
}

std::size_t CountNotRun(const std::vector<chat_callers::outcome>& outcomes) {
  std::size_t count = 0;
  for (const auto& one : outcomes) {
    if (one.answer.raw.status == 200) continue;
    if (AttemptOf(json::parse(one.answer.raw.body, nullptr, false)) == "not_run") ++count;
  }
  return count;
}

TEST_CASE("chat refusals that say not_run reached no engine, under overload and faults",
          "[request][p6]") {
  deployment running(OneDomain());
  Start(running);
  chat_callers::settings load;
  load.addresses = Addresses(running);
  load.callers = 32;
  load.max_tokens = 30;
  load.deadline = milliseconds(300);
  chat_callers callers(load);
  std::this_thread::sleep_for(milliseconds(1500));
  for (const std::string& entry : kEntries) {
    for (const std::string& engine : running.VmIds("engine")) {
      SetFaults(running.VmProxy(entry, engine), {{"drop_answers", 3}});
    }
  }
  std::this_thread::sleep_for(milliseconds(1000));
  running.Kill("ifo-engine-0");
  running.Kill("ifo-engine-1");
  std::this_thread::sleep_for(milliseconds(2000));
  SetFaults(running.vm("ifo-engine-2"), {{"freeze", true}});
  std::this_thread::sleep_for(milliseconds(1500));
  // Streams that began wait for a replica to resume on for up to 30 s.
  SetFaults(running.vm("ifo-engine-2"), {{"freeze", false}});
  const auto outcomes = callers.Stop();
  for (const auto& one : outcomes) {
    REQUIRE(FaultOfAnswer(one.answer, one.text, load.max_tokens) == kNothing);
  }
  CHECK(CountNotRun(outcomes) > 0);
  CHECK(CheckNotRun(running, outcomes).ToText() == kNothing);
}

TEST_CASE("service refusals that say not_run reached no service, under overload and faults",
          "[request][p6]") {
  deployment running(OneDomain());
  StartDesk(running, 1);
  std::map<std::string, std::future<result<http_answer>>> calls;
  const auto send = [&](const std::string& phase, std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
      const std::string key = phase + "-" + std::to_string(number);
      desk_call call;
      call.address = running.CallerAddress(kEntries[number % kEntries.size()]);
      call.key = key;
      call.deadline = milliseconds(500);
      calls.emplace(key, SendLater(call));
    }
  };
  // More than the service takes within the deadline.
  send("crowd", 150);
  std::this_thread::sleep_for(milliseconds(1500));
  SetFaults(running.vm("ifo-service-0"), {{"drop_answers", 5}});
  send("dropped", 20);
  std::this_thread::sleep_for(milliseconds(1000));
  SetFaults(running.log(), {{"outage", true}});
  send("outage", 20);
  std::this_thread::sleep_for(milliseconds(1500));
  SetFaults(running.log(), {{"outage", false}});
  std::this_thread::sleep_for(milliseconds(500));
  send("killed", 40);
  running.Kill("ifo-service-0");
  std::this_thread::sleep_for(milliseconds(200));
  send("dead", 10);
  std::size_t not_run = 0;
  std::size_t answered = 0;
  for (auto& [key, pending] : calls) {
    const auto answer = pending.get();
    REQUIRE(answer);
    INFO(key << ": " << answer->body);
    if (answer->status == 200) ++answered;
    if (answer->status == 200 || AttemptOf(answer->Json()) != "not_run") continue;
    ++not_run;
    CHECK(RunsOf(running, key) == 0);
  }
  CHECK(answered > 0);
  CHECK(not_run > 0);
  CHECK(CheckRepeatedRuns(running.Records("service")).ToText() == kNothing);
}

}  // namespace
}  // namespace waxwingwing::integration
