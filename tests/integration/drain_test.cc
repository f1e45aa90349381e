// Failure domains that operators take out and bring back, and domains that are cut off.
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/invariants.h"
#include "tests/integration/open_loop_load.h"
#include "tests/integration/serving_deployment.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

const std::string kDomain = "sagamu";
const std::string kNoFindings;
// About 3 s at 2 ms per token: still running when the domain goes out.
constexpr std::uint64_t kLongAnswer = 1500;
// Work that arrives for this long after "a few seconds" shows late dispatch.
constexpr milliseconds kWatch{3000};
// Credits live for 3 s after an entry VM stops asking for them, which takes up to 2 s.
constexpr milliseconds kCreditEnd{6000};
constexpr milliseconds kCommandBound{40000};

std::set<std::string> BackendsOf(const deployment& running, const std::string& domain) {
  std::set<std::string> vms;
  for (const char* role : {"engine", "service"}) {
    for (const std::string& id : running.VmIds(role, domain)) vms.insert(id);
  }
  return vms;
}

void SubmitState(deployment& running, const std::string& note_id, const std::string& state) {
  const json domains =
      StatusOf(running, "abeokuta-entry-0").at("configuration").at("failure_domains");
  json note = {{"note_id", note_id}};
  for (const json& domain : domains) {
    if (domain.at("id") == kDomain) note["base_revision"] = domain.at("revision");
  }
  note["change"]["failure_domains"] = json::array({{{"id", kDomain}, {"state", state}}});
  const http_answer answer = running.ApplyReleaseNote(note, "abeokuta-entry-0");
  INFO(answer.body);
  REQUIRE(answer.status == 200);
  REQUIRE(answer.Json().at("state") == "accepted");
}

/// Runs `waxwingwing drain` or `restore`.
void RunCommand(deployment& running, const std::string& command) {
  temporary_folder folder;
  child_process process(
      command, WAXWINGWING_PROGRAM,
      {command, kDomain, "--entry_address=" + running.CallerAddress("abeokuta-entry-0")},
      folder.path());
  const auto ended = process.WaitForExit(kCommandBound);
  INFO(process.LogTail());
  REQUIRE(ended.has_value());
  REQUIRE(ended->code == 0);
}

unsigned Readiness(deployment& running, const std::string& entry_vm) {
  return http_client(running.CallerAddress(entry_vm)).Get("/readyz").status;
}

bool AllReadinessIs(deployment& running, unsigned status) {
  for (const std::string& id : running.VmIds("entry", kDomain)) {
    if (Readiness(running, id) != status) return false;
  }
  return true;
}

/// Whether an engine of the domain got a request after the point in time.
bool ServedAfter(deployment& running, std::int64_t after_us) {
  return !CheckNewWork(running.Records("engine"), BackendsOf(running, kDomain), after_us).empty();
}

struct long_answer {
  std::string text;
  std::unique_ptr<event_stream> stream;
};

/// Long requests through the domain's entry VMs, each with its first token read.
std::vector<long_answer> StartLongAnswers(deployment& running) {
  std::vector<long_answer> answers;
  for (const std::string& id : running.VmIds("entry", kDomain)) {
    const std::string text = "long answer through " + id;
    answers.push_back(
        {text, std::make_unique<event_stream>(running.CallerAddress(id), "/v1/chat/completions",
                                              CallerHeaders(), ChatBody(text, kLongAnswer))});
    REQUIRE(answers.back().stream->ReadTokens(1));
  }
  return answers;
}

void CheckPassedOn(deployment& running) {
  for (const std::string& id : running.VmIds("entry", kDomain)) {
    const std::string text = "passed on by " + id;
    const stream_answer answer = Chat(running, id, text, 20);
    INFO(id << " " << answer.raw.body << answer.failure);
    CHECK(IsWhole(answer, text, 20));
    const auto call = CallDesk(running, id, "passed-on-" + id, R"({"confirm":1})");
    REQUIRE(call);
    INFO(call->body);
    CHECK(call->status == 200);
  }
}

using change = std::function<void()>;

/// Takes the domain out and brings it back under traffic.
void CheckDrill(deployment& running, const change& take_out, const change& restore) {
  open_loop_load load(running, {});
  std::vector<long_answer> long_answers = StartLongAnswers(running);
  take_out();
  const std::int64_t out_at_us = MonotonicMicros();
  CHECK(WaitFor([&] { return AllReadinessIs(running, 503); }, kFewSeconds));
  for (long_answer& one : long_answers) {
    CHECK(IsWhole(one.stream->ReadAll(), one.text, kLongAnswer));
  }
  CheckPassedOn(running);
  const std::int64_t limit_us = out_at_us + microseconds(kFewSeconds).count();
  WaitFor([&] { return MonotonicMicros() > limit_us + microseconds(kWatch).count(); },
          kFewSeconds + kWatch);
  const auto backends = BackendsOf(running, kDomain);
  CHECK(CheckNewWork(running.Records("engine"), backends, limit_us).ToText() == kNoFindings);
  CHECK(CheckNewWork(running.Records("service"), backends, limit_us).ToText() == kNoFindings);
  restore();
  const std::int64_t back_at_us = MonotonicMicros();
  CHECK(WaitFor([&] { return AllReadinessIs(running, 200); }, kInForceBound));
  CHECK(WaitFor([&] { return ServedAfter(running, back_at_us); }, kStartBound));
  CHECK(FailuresText(load.Finish()) == kNoFindings);
  CHECK(CheckPartialGroups(running.Records("engine")).ToText() == kNoFindings);
}

TEST_CASE("P4: a domain taken out by a release note gets no new work and serves after its return",
          "[drain]") {
  deployment running(ThreeDomains(4, 2));
  StartServing(running, NoteWithModelGroup(running, "n1"), 6);
  CheckDrill(
      running, [&] { SubmitState(running, "out", "out"); },
      [&] { SubmitState(running, "in", "in"); });
}

TEST_CASE("P4: the operators' commands take a domain out and bring it back", "[drain]") {
  deployment running(ThreeDomains(4, 2));
  StartServing(running, NoteWithModelGroup(running, "n1"), 6);
  CheckDrill(
      running, [&] { RunCommand(running, "drain"); }, [&] { RunCommand(running, "restore"); });
}

TEST_CASE("P4: a domain cut off from the log learns from peers that it is out", "[drain]") {
  // Guards against entry VMs that go on dispatching because they cannot read the release note.
  deployment_settings settings = ThreeDomains(4, 2);
  settings.proxy_log = true;
  deployment running(settings);
  StartServing(running, NoteWithModelGroup(running, "n1"), 6);
  for (const std::string& id : running.VmIds("entry", kDomain)) {
    SetFaults(running.LogProxy(id), {{"cut", true}});
  }
  // Calls to the desk need the log; CheckDrill covers them with chat completions only.
  open_loop_load load(running, {});
  std::vector<long_answer> long_answers = StartLongAnswers(running);
  SubmitState(running, "out", "out");
  const std::int64_t limit_us = MonotonicMicros() + microseconds(kFewSeconds).count();
  CHECK(WaitFor([&] { return AllReadinessIs(running, 503); }, kFewSeconds));
  for (long_answer& one : long_answers) {
    CHECK(IsWhole(one.stream->ReadAll(), one.text, kLongAnswer));
  }
  WaitFor([&] { return MonotonicMicros() > limit_us + microseconds(kWatch).count(); },
          kFewSeconds + kWatch);
  CHECK(CheckNewWork(running.Records("engine"), BackendsOf(running, kDomain), limit_us).ToText() ==
        kNoFindings);
  SubmitState(running, "in", "in");
  const std::int64_t back_at_us = MonotonicMicros();
  CHECK(WaitFor([&] { return AllReadinessIs(running, 200); }, kInForceBound));
  CHECK(WaitFor([&] { return ServedAfter(running, back_at_us); }, kStartBound));
  CHECK(FailuresText(load.Finish()) == kNoFindings);
}

TEST_CASE("credits that an entry VM no longer needs become free for others", "[drain]") {
  // Guards against grants that stay reserved for an entry VM that has gone idle. Entry VMs of a
  // domain that is out live on credits alone; with 2 requests per server each grantor has one.
  deployment running(ThreeDomains(4, 2));
  json note = NoteWithModelGroup(running, "n1");
  note.at("add").at("services").at(0)["max_requests"] = 2;
  StartServing(running, note, 6);
  SubmitState(running, "out", "out");
  CHECK(WaitFor([&] { return AllReadinessIs(running, 503); }, kFewSeconds));
  for (int round = 0; round < 2; ++round) {
    for (const std::string& id : running.VmIds("entry", kDomain)) {
      const auto call = CallDesk(running, id, id + std::to_string(round), R"({"confirm":1})");
      INFO(id << " in round " << round << ": " << (call ? call->body : call.reason()));
      REQUIRE(call);
      CHECK(call->status == 200);
      std::this_thread::sleep_for(kCreditEnd);
    }
  }
}

/// Three domains with one replica each whose entry VMs reach everything through proxies.
deployment_settings Separable() {
  deployment_settings settings = ThreeDomains(2, 1);
  for (domain_settings& domain : settings.domains) {
    domain.services = 0;
    if (domain.id == kDomain) domain.entry_vms = 2;
  }
  settings.proxy_log = true;
  settings.proxy_backends = true;
  settings.proxy_peers = true;
  return settings;
}

void SetCut(deployment& running, const std::string& reader, const std::string& vm, bool cut) {
  SetFaults(running.VmProxy(reader, vm), {{"cut", cut}});
}

/// Separates the domain from log, VM lists, and all VMs of other domains, or connects it again.
void SetDomainCut(deployment& running, bool cut) {
  for (const std::string& own : running.VmIds("entry", kDomain)) {
    SetFaults(running.LogProxy(own), {{"cut", cut}});
    SetFaults(running.VmListOf(own), {{"freeze", cut}});
    for (const char* domain : {"abeokuta", "ifo"}) {
      for (const std::string& engine : running.VmIds("engine", domain)) {
        SetCut(running, own, engine, cut);
      }
      for (const std::string& other : running.VmIds("entry", domain)) {
        SetCut(running, own, other, cut);
        SetCut(running, other, own, cut);
      }
    }
  }
  for (const char* domain : {"abeokuta", "ifo"}) {
    for (const std::string& other : running.VmIds("entry", domain)) {
      for (const std::string& engine : running.VmIds("engine", kDomain)) {
        SetCut(running, other, engine, cut);
      }
    }
  }
}

void StartSeparable(deployment& running, const std::string& when_cut_off) {
  json note = NoteWithModelGroup(running, "n1", {{"replicas", 1}});
  for (json& domain : note.at("add").at("failure_domains")) {
    if (domain.at("id") == kDomain) domain["when_cut_off"] = when_cut_off;
  }
  StartServing(running, note, 3);
}

TEST_CASE("a domain cut off from everything stops new work when it is configured to", "[drain]") {
  // Guards against a `not_run` that is untrue, and against a domain that cannot learn that it is
  // out and goes on.
  deployment running(Separable());
  StartSeparable(running, "stop");
  SetDomainCut(running, true);
  const auto refused = [&](const std::string& id) {
    return Chat(running, id, "while cut off", 5).raw.status == 503;
  };
  // 5 s after the last contact, and a second for contact that was under way.
  CHECK(WaitFor([&] { return refused(kDomain + "-entry-0") && refused(kDomain + "-entry-1"); },
                kFewSeconds + milliseconds(1000)));
  const std::int64_t refused_at_us = MonotonicMicros();
  for (const std::string& id : running.VmIds("entry", kDomain)) {
    const stream_answer later = Chat(running, id, "refused", 5);
    INFO(later.raw.body);
    REQUIRE(later.raw.status == 503);
    const json error = later.raw.Json().at("error");
    CHECK(error.at("attempt") == "not_run");
    CHECK(error.at("retry_after_ms").get<int>() > 0);
    CHECK(Readiness(running, id) == 503);
  }
  std::set<std::string> all;
  for (const std::string& id : running.VmIds("engine")) all.insert(id);
  CHECK(CheckNewWork(running.Records("engine"), all, refused_at_us).ToText() == kNoFindings);
  SetDomainCut(running, false);
  const auto served = [&] {
    const stream_answer answer = Chat(running, kDomain + "-entry-0", "connected again", 5);
    return IsWhole(answer, "connected again", 5);
  };
  CHECK(WaitFor(served, kInForceBound));
}

TEST_CASE("a domain cut off from everything serves its callers when it is configured to",
          "[drain]") {
  deployment running(Separable());
  StartSeparable(running, "serve");
  SetDomainCut(running, true);
  const std::int64_t cut_at_us = MonotonicMicros();
  // Longer than the lease and the limit after which a domain with `stop` refuses.
  const std::int64_t until_us = cut_at_us + microseconds(milliseconds(12000)).count();
  std::uint64_t number = 0;
  while (MonotonicMicros() < until_us) {
    for (const std::string& id : running.VmIds("entry", kDomain)) {
      const std::string text = "served while cut off " + std::to_string(++number);
      const stream_answer answer = Chat(running, id, text, 20);
      INFO(id << " after " << MonotonicMicros() - cut_at_us << " us: " << answer.raw.body
              << answer.failure);
      REQUIRE(IsWhole(answer, text, 20));
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  SetDomainCut(running, false);
  CHECK(CheckPartialGroups(running.Records("engine")).ToText() == kNoFindings);
}

}  // namespace
}  // namespace waxwingwing::integration
