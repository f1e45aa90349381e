#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "gateway/dispatch_group.h"
#include "tests/unit/support/gateway_fixture.h"

namespace waxwingwing::testing {
namespace {

using trompeloeil::_;

constexpr const char* kChat = "/v1/chat/completions";

std::string CodeOf(const text_response& response) {
  return nlohmann::json::parse(response.body()).at("error").at("code").get<std::string>();
}

std::string AttemptOf(const text_response& response) {
  return nlohmann::json::parse(response.body()).at("error").at("attempt").get<std::string>();
}

TEST_CASE("a streamed and a collected completion arrive whole", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Start();
  const auto streamed = fixture.Post(kChat, ChatBody(20, true));
  REQUIRE(streamed.result_int() == 200);
  REQUIRE_FALSE(streamed["X-Request-Id"].empty());
  REQUIRE(StreamText(streamed.body()) == CompleteText(20) + "<done>");
  const auto collected = fixture.Post(kChat, ChatBody(20, false));
  const auto body = nlohmann::json::parse(collected.body());
  REQUIRE(body.at("choices").at(0).at("message").at("content") == CompleteText(20));
  REQUIRE(WaitFor([&] { return fixture.budgets[0]->InUse().requests == request_count(0); }));
  REQUIRE(engine.Cancelled() == 0);
}

TEST_CASE("a connection serves several requests", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Start();
  tcp::socket socket = fixture.Connect();
  for (int i = 0; i < 3; ++i) {
    gateway_fixture::Send(socket, kChat, ChatBody(4, i % 2 == 0));
    REQUIRE(gateway_fixture::Receive(socket).result_int() == 200);
  }
}

TEST_CASE("a failed attempt is resumed without a lost or duplicated token", "[gateway]") {
  const auto fault =
      GENERATE(call_behaviour::kBreakStream, call_behaviour::kWrongIds, call_behaviour::kStall);
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Start();
  engine.SetBehaviours({fault, fault});
  const auto response = fixture.Post(kChat, ChatBody(12, true));
  REQUIRE(StreamText(response.body()) == CompleteText(12) + "<done>");
  const auto calls = engine.Calls();
  REQUIRE(calls.size() == 3);
  REQUIRE(calls[1]["X-Resume-Offset"] == "3");
  REQUIRE(calls[2]["X-Resume-Offset"] == "6");
  REQUIRE(calls[1]["X-Attempt-Id"] != calls[0]["X-Attempt-Id"]);
  REQUIRE(calls[1]["X-Request-Id"] == calls[0]["X-Request-Id"]);
  REQUIRE(engine.Probes() == (fault == call_behaviour::kStall ? 2 : 0));
  REQUIRE(WaitFor([&] { return engine.Cancelled() == 2; }));
}

// Guards against taking an interim response for a refusal and sending the request again, although
// the engine runs it.
TEST_CASE("an engine's interim response is skipped", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Start();
  engine.SetBehaviours({call_behaviour::kInterimFirst});
  const auto response = fixture.Post(kChat, ChatBody(12, true));
  CHECK(StreamText(response.body()) == CompleteText(12) + "<done>");
  CHECK(engine.Calls().size() == 1);
}

TEST_CASE("a stream that cannot be completed ends with an error event", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Start();
  engine.SetBehaviours({call_behaviour::kBreakStream, call_behaviour::kBreakStream,
                        call_behaviour::kBreakStream, call_behaviour::kBreakStream});
  const auto response = fixture.Post(kChat, ChatBody(40, true));
  REQUIRE(StreamText(response.body()) == CompleteText(12) + "<stream_incomplete>");
}

TEST_CASE("a refused connection is reported and retried at another server", "[gateway]") {
  fake_backend engine;
  std::string closed;
  {
    const fake_backend gone;
    closed = gone.address();
  }
  gateway_fixture fixture;
  ALLOW_CALL(fixture.control, ReportBackendFailure(_, _));
  ALLOW_CALL(fixture.control, ReportUnmetDemand(_));
  fixture.AddBackend("vm-1", closed);
  fixture.AddBackend("vm-2", engine.address());
  fixture.Start();
  for (int i = 0; i < 4; ++i) {
    const auto response = fixture.Post(kChat, ChatBody(5, true));
    REQUIRE(StreamText(response.body()) == CompleteText(5) + "<done>");
  }
  fixture.Change(
      [](routing_snapshot& snapshot) { snapshot.replicas[model_group_id("model")].pop_back(); });
  const auto refused = fixture.Post(kChat, ChatBody(5, true), {{"X-Deadline-Ms", "300"}});
  REQUIRE(refused.result_int() == 503);
  REQUIRE(AttemptOf(refused) == "not_run");
}

TEST_CASE("an engine that lost the replica is replaced by another", "[gateway]") {
  fake_backend first;
  fake_backend second;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", first.address());
  fixture.AddBackend("vm-2", second.address());
  fixture.Start();
  first.SetBehaviours({call_behaviour::kConflict});
  second.SetBehaviours({call_behaviour::kConflict});
  const auto response = fixture.Post(kChat, ChatBody(5, true));
  REQUIRE(StreamText(response.body()) == CompleteText(5) + "<done>");
  REQUIRE(first.Calls().size() + second.Calls().size() == 3);
}

TEST_CASE("a changed incarnation in a response is reported", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Change([](routing_snapshot& snapshot) {
    snapshot.replicas[model_group_id("model")][0].incarnation = incarnation(6);
  });
  REQUIRE_CALL(fixture.control,
               ReportIncarnation(vm_id("vm-1"), incarnation(7), milliseconds(1000)));
  fixture.Start();
  REQUIRE(fixture.Post(kChat, ChatBody(2, true)).result_int() == 200);
}

TEST_CASE("a slow caller holds a bounded buffer and no ticket, and gets all tokens", "[gateway]") {
  static constexpr std::uint64_t kTokens = 2000;
  static constexpr std::size_t kTokenSize = 400;
  fake_backend engine;
  engine.SetTokenSize(kTokenSize);
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Start();
  tcp::socket socket = fixture.Connect();
  gateway_fixture::Send(socket, kChat, ChatBody(kTokens, true));
  REQUIRE(WaitFor([&] { return engine.Cancelled() == 1; }));
  REQUIRE(fixture.budgets[0]->InUse().requests == request_count(0));
  REQUIRE(engine.TokensWritten() < kTokens);
  fixture.Get("/metrics");
  const auto buffered = fixture.metrics.Gauge("waxwingwing_buffered_bytes_total").value();
  REQUIRE(buffered > 0);
  REQUIRE(buffered <= static_cast<std::int64_t>(fixture.settings.stream_buffer.get()));
  const auto response = gateway_fixture::Receive(socket);
  REQUIRE(StreamText(response.body()) == CompleteText(kTokens, kTokenSize) + "<done>");
  fixture.Get("/metrics");
  REQUIRE(fixture.metrics.Gauge("waxwingwing_buffered_bytes_total").value() == 0);
}

TEST_CASE("the attempt of a caller that disconnects is cancelled", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.settings.gap_timeout = milliseconds(60000);
  fixture.Start();
  engine.SetBehaviours({call_behaviour::kStall});
  {
    tcp::socket socket = fixture.Connect();
    gateway_fixture::Send(socket, kChat, ChatBody(10, true));
    REQUIRE(WaitFor([&] { return engine.TokensWritten() == 3; }));
  }
  REQUIRE(WaitFor([&] { return engine.Cancelled() == 1; }));
  REQUIRE(WaitFor([&] { return fixture.gateway->RunningRequests() == 0; }));
  REQUIRE(fixture.budgets[0]->InUse().requests == request_count(0));
}

TEST_CASE("refusals carry their code and whether the request ran", "[gateway]") {
  gateway_fixture fixture;
  ALLOW_CALL(fixture.control, ReportUnmetDemand(_));
  fixture.Start();
  REQUIRE(CodeOf(fixture.Post(kChat, "{")) == "malformed_body");
  REQUIRE(CodeOf(fixture.Post(kChat, std::string(5000, '['))) == "malformed_body");
  REQUIRE(CodeOf(fixture.Post(kChat, ChatBody(40000, true))) == "request_too_large");
  REQUIRE(CodeOf(fixture.Post(kChat, std::string(1100000, ' '))) == "body_too_large");
  REQUIRE(CodeOf(fixture.Post(kChat, "", {{"X-Big", std::string(20000, 'x')}})) ==
          "header_too_large");
  REQUIRE(CodeOf(fixture.Post(kChat, "", {{"X-Organisation", "none"}})) == "unknown_organisation");
  REQUIRE(CodeOf(fixture.Post("/v1/services/none/x", "")) == "unknown_service");
  const auto refused = fixture.Post(kChat, ChatBody(4, true), {{"X-Deadline-Ms", "50"}});
  REQUIRE(CodeOf(refused) == "no_capacity");
  REQUIRE(AttemptOf(refused) == "not_run");
  REQUIRE_FALSE(refused["Retry-After"].empty());
  const metric_labels labels = {{"reason", "malformed_body"}};
  REQUIRE(fixture.metrics.Counter("waxwingwing_refusals_total", labels).value() == 2);
}

TEST_CASE("the gateway sends nothing while dispatch is suspended", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Change([](routing_snapshot& snapshot) { snapshot.dispatch_suspended = true; });
  fixture.Start();
  const auto refused = fixture.Post(kChat, ChatBody(4, true));
  REQUIRE(CodeOf(refused) == "control_state_stale");
  REQUIRE(AttemptOf(refused) == "not_run");
  REQUIRE(engine.Calls().empty());
}

TEST_CASE("the gateway sends nothing on an outdated snapshot", "[gateway]") {
  // Happens when the process was paused; its credits may have expired in the meantime.
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Change([](routing_snapshot& snapshot) {
    snapshot.published_at = std::chrono::steady_clock::now() - 2 * kSnapshotLifetime;
  });
  fixture.Start();
  REQUIRE(CodeOf(fixture.Post(kChat, ChatBody(4, true))) == "control_state_stale");
  REQUIRE(engine.Calls().empty());
}

TEST_CASE("a server that refused a connection is used again after its exclusion ends",
          "[gateway]") {
  // Guards against an exclusion without end: a request would wait at the head of its queue until
  // its deadline although the only backend server answers again.
  const snapshot_cell<routing_snapshot> cell([] {
    auto snapshot = std::make_shared<routing_snapshot>();
    backend_view view;
    view.vm = vm_id("vm-1");
    view.routable = true;
    view.budget = std::make_shared<backend_budget>();
    view.budget->SetLimits(request_count(1), token_count(1));
    snapshot->replicas[model_group_id("model")].push_back(view);
    return snapshot;
  }());
  dispatch_group group(dispatch_group::kind::kModelGroup, "model", cell,
                       std::move(*MakeReplicaSelector("least_loaded")));
  const time_point now{};
  placement_request request;
  request.unreachable_until[{vm_id("vm-1"), incarnation(0)}] = now + milliseconds(5);
  std::unique_ptr<backend_placement> placement;
  using placement_result = dispatch_group::placement_result;
  REQUIRE(group.TryPlace(request, placement, now) == placement_result::kAllAtLimit);
  REQUIRE(group.TryPlace(request, placement, now + milliseconds(6)) == placement_result::kPlaced);
}

TEST_CASE("capacity of a finished request goes to a waiting one", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  ALLOW_CALL(fixture.control, ReportUnmetDemand(_));
  fixture.AddBackend("vm-1", engine.address(), 1);
  fixture.settings.gap_timeout = milliseconds(400);
  fixture.Start();
  engine.SetBehaviours({call_behaviour::kStall});
  tcp::socket first = fixture.Connect();
  gateway_fixture::Send(first, kChat, ChatBody(6, true));
  REQUIRE(WaitFor([&] { return engine.TokensWritten() == 3; }));
  tcp::socket second = fixture.Connect();
  gateway_fixture::Send(second, kChat, ChatBody(2, true));
  REQUIRE(StreamText(gateway_fixture::Receive(first).body()) == CompleteText(6) + "<done>");
  REQUIRE(StreamText(gateway_fixture::Receive(second).body()) == CompleteText(2) + "<done>");
}

TEST_CASE("a graceful shutdown ends running requests whole", "[gateway]") {
  fake_backend engine;
  gateway_fixture fixture;
  fixture.AddBackend("vm-1", engine.address());
  fixture.Start();
  engine.SetBehaviours({call_behaviour::kStall});
  tcp::socket idle = fixture.Connect();
  tcp::socket running = fixture.Connect();
  gateway_fixture::Send(running, kChat, ChatBody(8, true));
  REQUIRE(WaitFor([&] { return engine.TokensWritten() == 3; }));
  fixture.gateway->BeginShutdown();
  REQUIRE(fixture.Get("/readyz").result_int() == 503);
  REQUIRE(fixture.Get("/healthz").result_int() == 200);
  fixture.gateway->StopAccepting();
  REQUIRE_THROWS(fixture.Connect());
  const auto response = gateway_fixture::Receive(running);
  REQUIRE(StreamText(response.body()) == CompleteText(8) + "<done>");
  running.close();
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  REQUIRE(fixture.gateway->WaitIdle(deadline));
}

}  // namespace
}  // namespace waxwingwing::testing
