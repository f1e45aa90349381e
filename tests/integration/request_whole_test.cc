// P5: every caller gets the whole answer to its own request, or an error that it can tell from one.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/invariants.h"
#include "tests/integration/request_callers.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr milliseconds kBound{10000};
const std::string kEntry = "ifo-entry-0";
// At 10 ms for each token, an answer takes 0.6 s.
constexpr std::uint64_t kTokens = 60;

/// One domain with two replicas of two VMs and proxies between the entry VM and the engines.
deployment_settings OneDomain() {
  deployment_settings settings;
  domain_settings domain;
  domain.id = "ifo";
  domain.engines = 4;
  domain.entry_vms = 1;
  settings.domains.push_back(domain);
  settings.engine_flags = {"--ms_per_token=10", "--warm_up_ms=500"};
  settings.entry_flags = {"--drain_grace_ms=500", "--first_byte_timeout_ms=2000"};
  settings.proxy_backends = true;
  return settings;
}

void Start(deployment& running) {
  StartServing(running, NoteWithModelGroup(running, "n1", {{"warm_up_ms", 500}}), 2);
}

void SetFaultsOfEngines(deployment& running, const json& faults) {
  for (const std::string& engine : running.VmIds("engine")) SetFaults(running.vm(engine), faults);
}

/// The VM of the engine that runs the only request; empty when there is none.
std::string LeaderAtWork(const deployment& running) {
  for (const vm_records& engine : running.Records("engine")) {
    if (engine.ended_at_us.has_value()) continue;
    for (const json& request : engine.List("requests")) {
      if (!request.contains("ended_at_us")) return engine.vm;
    }
  }
  return {};
}

std::size_t RequestsThatEnded(const deployment& running, const std::string& how) {
  std::size_t count = 0;
  for (const vm_records& engine : running.Records("engine")) {
    for (const json& request : engine.List("requests")) {
      if (request.value("ended", std::string()) == how) ++count;
    }
  }
  return count;
}

std::size_t AnswersWithOtherIds(const deployment& running) {
  std::size_t count = 0;
  for (const vm_records& engine : running.Records("engine")) {
    for (const json& request : engine.List("requests")) {
      if (request.contains("answered_as")) ++count;
    }
  }
  return count;
}

event_stream Ask(deployment& running, const std::string& text) {
  return event_stream(running.CallerAddress(kEntry), "/v1/chat/completions", CallerHeaders(),
                      ChatBody(text, kTokens));
}

void RequireWhole(const stream_answer& answer, const std::string& text) {
  INFO(text << ": status " << answer.raw.status << ", " << answer.tokens.size() << " tokens, "
            << answer.raw.body << answer.failure);
  REQUIRE(IsWhole(answer, text, kTokens));
}

TEST_CASE("streams that are cut or go silent half way, or have other ids, come back whole",
          "[request][p5]") {
  deployment running(OneDomain());
  Start(running);
  RequireWhole(Chat(running, kEntry, "no fault", kTokens), "no fault");
  SetFaultsOfEngines(running, {{"drop_streams", 1}});
  RequireWhole(Chat(running, kEntry, "cut", kTokens), "cut");
  REQUIRE(RequestsThatEnded(running, "dropped") >= 1);
  SetFaultsOfEngines(running, {{"drop_streams", 0}, {"silence_streams", 1}});
  RequireWhole(Chat(running, kEntry, "silent", kTokens), "silent");
  SetFaultsOfEngines(running, {{"silence_streams", 0}, {"wrong_ids", 1}});
  RequireWhole(Chat(running, kEntry, "other ids", kTokens), "other ids");
  REQUIRE(AnswersWithOtherIds(running) >= 1);
}

TEST_CASE("an answer is whole after its replica's leader is killed in mid-stream",
          "[request][p5]") {
  deployment running(OneDomain());
  Start(running);
  const std::string text = "leader killed";
  event_stream stream = Ask(running, text);
  REQUIRE(stream.ReadTokens(10));
  const std::string leader = LeaderAtWork(running);
  REQUIRE_FALSE(leader.empty());
  running.Kill(leader);
  RequireWhole(stream.ReadAll(), text);
}

TEST_CASE("an answer is whole after its connection froze while new connections work",
          "[request][p5]") {
  deployment running(OneDomain());
  Start(running);
  const std::string text = "frozen path";
  event_stream stream = Ask(running, text);
  REQUIRE(stream.ReadTokens(10));
  for (const std::string& engine : running.VmIds("engine")) {
    SetFaults(running.VmProxy(kEntry, engine), {{"silence_open", true}});
  }
  RequireWhole(stream.ReadAll(), text);
  // The silent attempt is cancelled at the engine, where it would hold memory.
  REQUIRE(WaitFor([&] { return LeaderAtWork(running).empty(); }, kBound));
}

TEST_CASE("a stream that cannot be resumed ends with an error event and no end mark",
          "[request][p5]") {
  deployment running(OneDomain());
  Start(running);
  const std::string text = "nothing left";
  event_stream stream = Ask(running, text);
  REQUIRE(stream.ReadTokens(10));
  // Each attempt is cut half way through what is left, until the retries are used up.
  SetFaultsOfEngines(running, {{"drop_streams", 100}});
  const std::string leader = LeaderAtWork(running);
  REQUIRE_FALSE(leader.empty());
  running.Kill(leader);
  const stream_answer answer = stream.ReadAll();
  INFO(answer.raw.body << answer.failure);
  REQUIRE(FaultOfAnswer(answer, text, kTokens) == kNothing);
  REQUIRE(answer.error_event.has_value());
  REQUIRE_FALSE(answer.done);
  REQUIRE(AttemptOf(*answer.error_event) == "unknown");
}

TEST_CASE("under load and repeated faults every answer is whole or an error", "[request][p5][p6]") {
  deployment running(OneDomain());
  Start(running);
  chat_callers::settings load;
  load.addresses = {running.CallerAddress(kEntry)};
  load.callers = 12;
  load.max_tokens = 30;
  chat_callers callers(load);
  for (int round = 0; round < 4; ++round) {
    SetFaultsOfEngines(running, {{"drop_streams", 2}, {"wrong_ids", 2}});
    std::this_thread::sleep_for(milliseconds(500));
    for (const std::string& engine : running.VmIds("engine")) {
      SetFaults(running.VmProxy(kEntry, engine), {{"silence_open", true}, {"drop_answers", 1}});
    }
    std::this_thread::sleep_for(milliseconds(1000));
  }
  const std::string leader = LeaderAtWork(running);
  if (!leader.empty()) running.Kill(leader);
  std::this_thread::sleep_for(milliseconds(1000));
  const auto outcomes = callers.Stop();
  std::size_t whole = 0;
  for (const auto& one : outcomes) {
    REQUIRE(FaultOfAnswer(one.answer, one.text, load.max_tokens) == kNothing);
    if (one.whole) ++whole;
  }
  INFO(whole << " of " << outcomes.size() << " answers were whole; " << CountByEnd(outcomes));
  CHECK(whole > outcomes.size() / 2);
  CHECK(AnswersWithOtherIds(running) >= 1);
  CHECK(CheckNotRun(running, outcomes).ToText() == kNothing);
}

}  // namespace
}  // namespace waxwingwing::integration
