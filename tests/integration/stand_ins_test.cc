// Tests of the stand-ins themselves: what the other tests conclude depends on them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "stand_ins/answer_tokens.h"
#include "tests/integration/event_stream.h"
#include "tests/integration/http_connection.h"
#include "tests/integration/platform_processes.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr milliseconds kBound{10000};
const std::string kControl = "/v1/streams/control/records";
const std::string kChat = "/v1/chat/completions";

json Assignment(std::uint64_t fencing_number, std::uint64_t generation) {
  return {{"order_id", "order"},
          {"fencing_number", fencing_number},
          {"kind", "assign"},
          {"replica", "r1"},
          {"model_group", "g1"},
          {"generation", generation},
          {"rank", 0},
          {"model", "m1"},
          {"members", json::array({{{"vm", "vm"}, {"address", "127.0.0.1:1"}}})}};
}

header_list ChatHeaders(const std::string& attempt, std::uint64_t resume_offset = 0) {
  return {{"X-Request-Id", "q1"},
          {"X-Attempt-Id", attempt},
          {"X-Replica", "r1"},
          {"X-Generation", "1"},
          {"X-Resume-Offset", std::to_string(resume_offset)}};
}

json ChatBody(std::uint64_t max_tokens) {
  return {{"model", "g1"},
          {"messages", json::array({{{"role", "user"}, {"content", "the question"}}})},
          {"max_tokens", max_tokens},
          {"stream", true}};
}

std::vector<std::string> ExpectedTokens(std::uint64_t from, std::uint64_t to) {
  std::vector<std::string> tokens;
  for (std::uint64_t index = from; index < to; ++index) {
    tokens.push_back(stand_ins::AnswerToken("the question", index));
  }
  return tokens;
}

bool IsReady(const http_client& engine) {
  return engine.Get("/v1/status").Json().at("state") == "ready";
}

TEST_CASE("the log keeps a record whose answer it lost", "[stand_ins]") {
  // Guards the tests of appends that took effect without an answer.
  platform_processes processes;
  const auto log = processes.StartStandIn("log", "log");
  const http_client client(log->Address());
  SetFaults(*log, {{"lose_answers", 1}});
  const json record = {{"append_id", "a1"}, {"payload", {{"n", 1}}}};
  REQUIRE_FALSE(client.Send({"POST", kControl, {}, record.dump()}));
  const json read = client.Get(kControl + "?from=0").Json();
  REQUIRE(read.at("records").size() == 1);
  REQUIRE(read.at("records").at(0).at("append_id") == "a1");
  REQUIRE(client.Post(kControl, record).Json().at("offset") == 1);
}

TEST_CASE("the log answers 410 for records that it no longer retains", "[stand_ins]") {
  platform_processes processes;
  const auto log = processes.StartStandIn("log", "log", {"--retain_records=2"});
  const http_client client(log->Address());
  for (int number = 0; number < 5; ++number) {
    client.Post(kControl, {{"append_id", std::to_string(number)}, {"payload", number}});
  }
  const http_answer old = client.Get(kControl + "?from=2");
  REQUIRE(old.status == 410);
  REQUIRE(old.Json().at("first_offset") == 3);
  REQUIRE(client.Get(kControl + "?from=3").Json().at("records").size() == 2);
}

TEST_CASE("the log wakes waiting readers for a record and for an outage", "[stand_ins]") {
  // A reader that kept waiting would hide an outage from the tests.
  platform_processes processes;
  const auto log = processes.StartStandIn("log", "log");
  const std::string address = log->Address();
  const time_point deadline = steady_clock::now() + kBound;
  http_connection record_reader;
  http_connection outage_reader;
  REQUIRE_FALSE(record_reader.Connect(address, deadline));
  REQUIRE_FALSE(outage_reader.Connect(address, deadline));
  const http_call wait_for_first = {"GET", kControl + "?from=0&wait_ms=60000", {}, ""};
  const http_call wait_for_second = {"GET", kControl + "?from=1&wait_ms=60000", {}, ""};
  REQUIRE_FALSE(record_reader.Write(address, wait_for_first, deadline));
  REQUIRE_FALSE(outage_reader.Write(address, wait_for_second, deadline));
  http_client(address).Post(kControl, {{"append_id", "a1"}, {"payload", 1}});
  http_connection::parser record;
  REQUIRE_FALSE(record_reader.Read(record, deadline));
  REQUIRE(http_connection::ToAnswer(record).Json().at("records").size() == 1);
  SetFaults(*log, {{"outage", true}});
  http_connection::parser outage;
  REQUIRE_FALSE(outage_reader.Read(outage, deadline));
  REQUIRE(http_connection::ToAnswer(outage).status == 503);
}

TEST_CASE("an engine that checks fencing numbers refuses an old one", "[stand_ins]") {
  platform_processes processes;
  const auto strict = processes.StartStandIn("engine", "strict", {"--checks_fencing"});
  const auto lax = processes.StartStandIn("engine", "lax");
  const http_client strict_client(strict->Address());
  const http_client lax_client(lax->Address());
  for (const http_client& client : {strict_client, lax_client}) {
    REQUIRE(client.Post("/v1/orders", Assignment(7, 2)).status == 200);
  }
  REQUIRE(strict_client.Post("/v1/orders", Assignment(6, 3)).status == 409);
  REQUIRE(lax_client.Post("/v1/orders", Assignment(6, 3)).status == 200);
  REQUIRE(strict_client.Get("/v1/status").Json().at("assignment").at("generation") == 2);
  REQUIRE(lax_client.Get("/v1/status").Json().at("assignment").at("generation") == 3);
  REQUIRE(GetRecords(*strict).at("orders").at(1).at("verdict") == "old_fencing_number");
}

TEST_CASE("an engine streams the computed tokens and resumes at an offset", "[stand_ins]") {
  platform_processes processes;
  const auto engine = processes.StartStandIn("engine", "engine");
  const std::string address = engine->Address();
  REQUIRE(http_client(address).Post(kChat, ChatBody(4), ChatHeaders("t0")).status == 503);
  http_client(address).Post("/v1/orders", Assignment(1, 1));
  event_stream whole(address, kChat, ChatHeaders("t1"), ChatBody(12));
  REQUIRE(whole.ReadAll().done);
  REQUIRE(whole.answer().tokens == ExpectedTokens(0, 12));
  SetFaults(*engine, {{"drop_streams", 1}});
  event_stream cut(address, kChat, ChatHeaders("t2"), ChatBody(12));
  REQUIRE_FALSE(cut.ReadAll().done);
  REQUIRE(cut.answer().tokens == ExpectedTokens(0, 6));
  event_stream resumed(address, kChat, ChatHeaders("t3", 6), ChatBody(12));
  REQUIRE(resumed.ReadAll().done);
  REQUIRE(resumed.answer().tokens == ExpectedTokens(6, 12));
  REQUIRE(resumed.answer().indexes.front() == 6);
}

TEST_CASE("an engine ends a request that was cancelled or whose caller left", "[stand_ins]") {
  platform_processes processes;
  const auto engine = processes.StartStandIn("engine", "engine", {"--ms_per_token=20"});
  const http_client client(engine->Address());
  client.Post("/v1/orders", Assignment(1, 1));
  event_stream cancelled(engine->Address(), kChat, ChatHeaders("t1"), ChatBody(1000));
  REQUIRE(cancelled.ReadTokens(1));
  client.Post("/v1/cancel", {{"attempt_id", "t1"}});
  REQUIRE_FALSE(cancelled.ReadAll().done);
  event_stream left(engine->Address(), kChat, ChatHeaders("t2"), ChatBody(1000));
  REQUIRE(left.ReadTokens(1));
  left.Close();
  REQUIRE(WaitFor([&] { return client.Get("/v1/status").Json().at("running") == 0; }, kBound));
  const json requests = GetRecords(*engine).at("requests");
  REQUIRE(requests.at(0).at("ended") == "cancelled");
  REQUIRE(requests.at(1).at("ended") == "disconnected");
}

TEST_CASE("an engine crashes when it holds more KV tokens than it bears", "[stand_ins]") {
  platform_processes processes;
  const auto engine = processes.StartStandIn("engine", "engine", {"--kv_tokens_limit=50"});
  http_client(engine->Address()).Post("/v1/orders", Assignment(1, 1));
  event_stream request(engine->Address(), kChat, ChatHeaders("t1"), ChatBody(48));
  REQUIRE_FALSE(request.ReadAll().done);
  const auto ended = engine->WaitForExit(kBound);
  REQUIRE(ended.has_value());
  REQUIRE(ended->code == 70);
}

TEST_CASE("the weight store shares its rate between readers", "[stand_ins]") {
  platform_processes processes;
  const auto store =
      processes.StartStandIn("weight_store", "store", {"--bytes_per_second=1000000"});
  const std::vector<std::string> flags = {"--weight_store_address=" + store->Address(),
                                          "--load_bytes=200000"};
  const auto first = processes.StartStandIn("engine", "first", flags);
  const auto second = processes.StartStandIn("engine", "second", flags);
  const http_client first_client(first->Address());
  const http_client second_client(second->Address());
  const auto start = steady_clock::now();
  first_client.Post("/v1/orders", Assignment(1, 1));
  second_client.Post("/v1/orders", Assignment(1, 1));
  REQUIRE(WaitFor([&] { return IsReady(first_client) && IsReady(second_client); }, kBound));
  // Two loads of 0.2 s each; both at the full rate would take 0.2 s together.
  REQUIRE(steady_clock::now() - start >= milliseconds(390));
  // The same rank again is loaded from memory.
  first_client.Post("/v1/orders", Assignment(1, 2));
  REQUIRE(IsReady(first_client));
}

TEST_CASE("the proxy freezes a direction, loses an answer and refuses", "[stand_ins]") {
  platform_processes processes;
  const auto service = processes.StartStandIn("plain_service", "service");
  const auto proxy = processes.StartStandIn("proxy", "proxy", {"--target=" + service->Address()});
  const http_client impatient(proxy->Address(), milliseconds(300));
  const http_client patient(proxy->Address());
  REQUIRE(patient.Post("/v1/call", "a").status == 200);
  SetFaults(*proxy, {{"freeze_from_target", true}});
  REQUIRE_FALSE(impatient.Send({"POST", "/v1/call", {}, "b"}));
  REQUIRE(WaitFor([&] { return GetRecords(*service).at("calls").size() == 2; }, kBound));
  SetFaults(*proxy, {{"freeze_from_target", false}, {"freeze_to_target", true}});
  REQUIRE_FALSE(impatient.Send({"POST", "/v1/call", {}, "c"}));
  REQUIRE(GetRecords(*service).at("calls").size() == 2);
  // The lifted freeze delivers the call; its answer must not be the one that is dropped.
  SetFaults(*proxy, {{"freeze_to_target", false}});
  const auto third_call_ended = [&] {
    const json calls = GetRecords(*service).at("calls");
    return calls.size() == 3 && calls.at(2).contains("ended_at_us");
  };
  REQUIRE(WaitFor(third_call_ended, kBound));
  const auto all_connections_ended = [&] {
    const json connections = GetRecords(*proxy).at("connections");
    return std::all_of(connections.begin(), connections.end(),
                       [](const json& connection) { return connection.contains("ended_at_us"); });
  };
  REQUIRE(WaitFor(all_connections_ended, kBound));
  SetFaults(*proxy, {{"drop_answers", 1}});
  REQUIRE_FALSE(patient.Send({"POST", "/v1/call", {}, "d"}));
  SetFaults(*proxy, {{"cut", true}});
  REQUIRE_FALSE(patient.Send({"POST", "/v1/call", {}, "e"}));
  SetFaults(*proxy, {{"cut", false}});
  REQUIRE(patient.Post("/v1/call", "f").status == 200);
}

TEST_CASE("the proxy silences open connections for good", "[stand_ins]") {
  // Guards the tests of connections that go silent while new ones work.
  platform_processes processes;
  const auto engine = processes.StartStandIn("engine", "engine");
  const auto proxy = processes.StartStandIn("proxy", "proxy", {"--target=" + engine->Address()});
  http_client(proxy->Address()).Post("/v1/orders", Assignment(1, 1));
  event_stream::settings settings;
  settings.timeout = milliseconds(500);
  event_stream silenced(proxy->Address(), kChat, ChatHeaders("t1"), ChatBody(1000), settings);
  REQUIRE(silenced.ReadTokens(1));
  SetFaults(*proxy, {{"silence_open", true}});
  REQUIRE_FALSE(silenced.ReadTokens(1000));
  event_stream next(proxy->Address(), kChat, ChatHeaders("t2"), ChatBody(4));
  REQUIRE(next.ReadAll().done);
}

}  // namespace
}  // namespace waxwingwing::integration
