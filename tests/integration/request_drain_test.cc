// P9: SIGTERM to an entry VM cuts no answer short.
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/invariants.h"
#include "tests/integration/request_callers.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr milliseconds kDrainBound{15000};
// At 10 ms for each token, an answer takes 2 s: four times the grace period.
constexpr std::uint64_t kTokens = 200;

TEST_CASE("SIGTERM to an entry VM under load cuts nothing short", "[request][p9]") {
  deployment_settings settings;
  domain_settings domain;
  domain.id = "ifo";
  domain.engines = 4;
  domain.services = 1;
  domain.entry_vms = 2;
  settings.domains.push_back(domain);
  settings.engine_flags = {"--ms_per_token=10", "--warm_up_ms=500"};
  settings.service_flags = {"--service_ms=2000"};
  settings.entry_flags = {"--drain_grace_ms=500"};
  deployment running(settings);
  StartServing(running, NoteWithModelGroup(running, "n1", {{"warm_up_ms", 500}}), 2);
  chat_callers::settings load;
  load.addresses = {running.CallerAddress("ifo-entry-0")};
  load.callers = 8;
  load.max_tokens = kTokens;
  chat_callers callers(load);
  std::vector<std::future<result<http_answer>>> calls;
  for (int number = 0; number < 4; ++number) {
    desk_call call;
    call.address = load.addresses.front();
    call.key = "drain-" + std::to_string(number);
    call.deadline = milliseconds(5000);
    calls.push_back(SendLater(call));
  }
  REQUIRE(WaitFor([&] { return callers.whole() >= 8; }, kDrainBound));
  std::this_thread::sleep_for(milliseconds(500));
  child_process& entry = running.vm("ifo-entry-0");
  entry.Terminate();
  const auto not_ready = [&] {
    const auto answer = http_client(load.addresses.front()).Send({"GET", "/readyz", {}, ""});
    return answer && answer->status == 503;
  };
  CHECK(WaitFor(not_ready, milliseconds(400)));
  // Callers connect until the process refuses; what it has accepted must come back whole.
  const auto exit = entry.WaitForExit(kDrainBound);
  REQUIRE(exit.has_value());
  CHECK(exit->code == 0);
  const auto outcomes = callers.Stop();
  std::size_t whole = 0;
  std::size_t began = 0;
  for (const auto& one : outcomes) {
    // A refused connection has no status; everything that began must be whole.
    if (one.answer.raw.status == 0 && one.answer.tokens.empty()) continue;
    ++began;
    INFO(one.text << ": " << one.answer.raw.status << " " << one.answer.failure);
    CHECK(one.whole);
    if (one.whole) ++whole;
  }
  CHECK(whole > 8);
  CHECK(whole == began);
  for (auto& pending : calls) {
    const auto answer = pending.get();
    REQUIRE(answer);
    CHECK(answer->status == 200);
  }
  // Nothing that an engine began was left unfinished.
  for (const vm_records& engine : running.Records("engine")) {
    for (const json& request : engine.List("requests")) {
      CHECK(request.value("ended", std::string()) == "complete");
    }
  }
}

}  // namespace
}  // namespace waxwingwing::integration
