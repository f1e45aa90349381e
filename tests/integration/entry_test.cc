#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

const std::vector<std::string> kAllEvents = {"1", "2", "3", "4", "5", "6", "7", "8", "9", "10"};

std::string IdOf(const http_answer& answer) { return answer.Header("Request-Id"); }

TEST_CASE("entry: each kind of request is answered whole on a calm day", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();

  const auto stream = deployment.Stream();
  REQUIRE(stream);
  CHECK(stream->status == 200);
  CHECK(entry_deployment::EventIds(stream->body) == kAllEvents);
  CHECK(!stream->Header("Response-Signature").empty());

  const auto once = deployment.Call("POST", "/once/a?b=c", {}, "confirm");
  REQUIRE(once);
  CHECK(once->status == 200);
  CHECK(once->body == "answer to " + IdOf(*once));
  CHECK(deployment.RunsOf(IdOf(*once)) == 1);

  const auto lookup = deployment.Call("GET", "/lookup/x");
  REQUIRE(lookup);
  CHECK(lookup->body == "answer to " + IdOf(*lookup));

  const auto run = deployment.Records(deployment.service(), "runs").front();
  CHECK(run["organisation"] == "first");
  CHECK(run["has_key"] == false);
  CHECK(run["body"] == "confirm");
  CHECK(run["path"] == "/once/a");
}

TEST_CASE("entry: what no configuration allows is refused at once and reaches no server",
          "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  const std::size_t runs = deployment.Records(deployment.service(), "runs").size();
  CHECK(deployment.Call("GET", "/nowhere/x")->status == 404);
  CHECK(deployment.Call("GET", "/lookup/x", {{"Host", "other.example"}})->status == 404);
  CHECK(deployment.Call("GET", "/lookup/x", {{"Api-Key", "unknown"}})->status == 401);
  CHECK(deployment.Call("GET", "/lookup/x", {{"Deadline-Ms", "soon"}})->status == 400);
  CHECK(deployment.Call("POST", "/once/x", {}, std::string(70000, 'x'))->status == 413);
  CHECK(deployment.Records(deployment.service(), "runs").size() == runs);
}

TEST_CASE("entry: a stream that breaks off within an event goes on at another group without a gap",
          "[entry]") {
  // Two groups, so that there is another one.
  entry_deployment deployment({.runners = 6});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.Head(), "break_after", 4);
  for (int i = 0; i < 20 && deployment.LogLines("request_moved").empty(); ++i) {
    const auto stream = deployment.Stream();
    REQUIRE(stream);
    CHECK(entry_deployment::EventIds(stream->body) == kAllEvents);
    WaitFor([&] { return !deployment.LogLines("request_moved").empty(); }, milliseconds(200));
  }
  CHECK(!deployment.LogLines("request_moved").empty());
}

TEST_CASE("entry: an answer that is lost after a call ran is not repeated and not called refused",
          "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.service(), "drop_answers", 1);
  const auto answer = deployment.Call("POST", "/once/a", {{"Request-Id", "lost-1"}}, "confirm");
  REQUIRE(answer);
  CHECK(answer->status == 502);
  CHECK(deployment.RunsOf("lost-1") == 1);
}

TEST_CASE("entry: a call that no server has run is refused with a time to come back", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.service(), "reject", 5);
  const auto answer = deployment.Call("POST", "/once/a", {{"Request-Id", "refused-1"}}, "confirm");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(!answer->Header("Retry-After").empty());
  CHECK(deployment.RunsOf("refused-1") == 0);
}

TEST_CASE("entry: a second answer on a connection is given to no caller", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.service(), "extra", 3);
  for (int i = 0; i < 6; ++i) {
    const auto answer = deployment.Call("GET", "/lookup/x");
    REQUIRE(answer);
    CHECK(answer->body == "answer to " + IdOf(*answer));
  }
}

TEST_CASE("entry: a group that lost a member is formed again with the spare", "[entry]") {
  entry_deployment deployment({.runners = 3});
  deployment.WaitUntilServing();
  const auto opened = [&] {
    const auto orders = deployment.LogLines("order_sent");
    return std::count_if(orders.begin(), orders.end(), [](const auto& line) {
      return line["action"] == "open" && line["outcome"] == "accepted";
    });
  };
  const auto before = opened();
  deployment.Member().Kill();
  CHECK(WaitFor([&] { return opened() > before; }, milliseconds(8000)));
  CHECK(WaitFor(
      [&] {
        const auto stream = deployment.Stream();
        return stream && entry_deployment::EventIds(stream->body) == kAllEvents;
      },
      milliseconds(3000)));
  for (const auto& runner : deployment.runners()) {
    if (runner->Running()) CHECK(deployment.Records(*runner, "violations").empty());
  }
}

TEST_CASE("entry: a VM follows the controller and takes over when it is gone", "[entry]") {
  entry_deployment deployment({.runners = 3});
  deployment.WaitUntilServing();
  child_process& second = deployment.AddEntry("second");
  CHECK(WaitFor([&] { return !deployment.LogLines("parent_selected", "second").empty(); },
                milliseconds(6000)));
  // What only the controller has read from the store arrives over the link.
  const auto removed = [&] { return deployment.LogLines("server_removed", "second").size(); };
  const auto before = removed();
  deployment.Member().Kill();
  CHECK(WaitFor([&] { return removed() > before; }, milliseconds(8000)));

  deployment.entry().Kill();
  CHECK(WaitFor([&] { return !deployment.LogLines("controller_gained", "second").empty(); },
                milliseconds(6000)));
  // From now on it reads the registrations itself.
  const auto removed_before = removed();
  for (const auto& runner : deployment.runners()) {
    if (!runner->Running()) continue;
    runner->Kill();
    break;
  }
  CHECK(WaitFor([&] { return removed() > removed_before; }, milliseconds(8000)));
  CHECK(second.Running());
  // Epochs of a term are above all that an earlier controller may have used.
  for (const char* entry : {"entry", "second"}) {
    for (const auto& line : deployment.LogLines("order_sent", entry)) {
      if (line["action"] == "join") CHECK(line["epoch"] >= 1000);
    }
  }
  for (const auto& runner : deployment.runners()) {
    if (runner->Running()) CHECK(deployment.Records(*runner, "violations").empty());
  }
}

TEST_CASE("entry: a new configuration is in force soon and an older one never returns", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  auto next = deployment.Configuration(7);
  next["routes"].erase(2);
  deployment.WriteConfiguration(next);
  CHECK(WaitFor([&] { return deployment.Call("GET", "/lookup/x")->status == 404; },
                milliseconds(1000)));
  deployment.WriteConfiguration(deployment.Configuration(3));
  deployment.SetFault(deployment.store(), "drop_history", true);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(deployment.Call("GET", "/lookup/x")->status == 404);
}

TEST_CASE("entry: a configuration is in force in time though the store wakes no waiting read",
          "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.store(), "miss_wakes", true);
  // A read that began before the fault may still be woken.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  for (const std::uint64_t version : {7, 9, 11}) {
    auto next = deployment.Configuration(version);
    if (version != 9) next["routes"].erase(2);
    deployment.WriteConfiguration(next);
    CHECK(WaitFor(
        [&] { return deployment.Call("GET", "/lookup/x")->status == (version == 9 ? 200 : 404); },
        milliseconds(2000)));
  }
}

TEST_CASE("entry: a key that was taken away stops working, also while the store is away",
          "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  deployment.SetFault(deployment.store(), "freeze", true);
  // The limit of 5 s counts from the acknowledgement, which the VM cannot see.
  CHECK(WaitFor([&] { return deployment.Call("GET", "/lookup/x")->status == 503; },
                milliseconds(5000)));
  deployment.SetFault(deployment.store(), "freeze", false);
  CHECK(WaitFor([&] { return deployment.Call("GET", "/lookup/x")->status == 200; },
                milliseconds(4000)));
  auto next = deployment.Configuration(9);
  next["tenants"][0]["api_keys"] = {"another-key"};
  deployment.WriteConfiguration(next);
  CHECK(WaitFor([&] { return deployment.Call("GET", "/lookup/x")->status == 401; },
                milliseconds(1000)));
}

// Guards against requests that run with any key, since the operators have taken away the last
// organisation.
TEST_CASE("entry: no key passes after the last organisation was taken away", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  auto next = deployment.Configuration(9);
  next["tenants"] = nlohmann::json::array();
  deployment.WriteConfiguration(next);
  std::this_thread::sleep_for(milliseconds(2000));
  const std::size_t before = deployment.Records(deployment.service(), "runs").size();
  CHECK(deployment.Call("GET", "/lookup/x")->status == 401);
  CHECK(deployment.Call("GET", "/lookup/x", {{"Api-Key", "never-held"}})->status == 401);
  CHECK(deployment.Records(deployment.service(), "runs").size() == before);
}

TEST_CASE("entry: a failure domain that is evacuated gets nothing and is taken back", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  deployment.WriteOperatorRecord("evacuate/ifo", "{}");
  CHECK(WaitFor([&] { return deployment.Call("GET", "/lookup/x")->status == 503; },
                milliseconds(1000)));
  deployment.WriteOperatorRecord("evacuate/ifo", "");
  CHECK(WaitFor([&] { return deployment.Call("GET", "/lookup/x")->status == 200; },
                milliseconds(1000)));
}

TEST_CASE("entry: SIGTERM under load cuts no stream short", "[entry]") {
  entry_deployment deployment({.events = 60});
  deployment.WaitUntilServing();
  std::vector<std::thread> callers;
  std::vector<std::size_t> events(6, 0);
  for (std::size_t i = 0; i < events.size(); ++i) {
    callers.emplace_back([&, i] {
      const auto stream = deployment.Stream();
      if (stream) events[i] = entry_deployment::EventIds(stream->body).size();
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  deployment.entry().Terminate();
  const http_client ready(deployment.ready_address());
  // The signal is handled some milliseconds after it was sent; the balancer asks once a second.
  CHECK(WaitFor(
      [&] {
        const auto answer = ready.Send({"GET", "/v1/ready", {}, ""});
        return !answer || answer->status == 503;
      },
      milliseconds(300)));
  for (std::thread& caller : callers) caller.join();
  CHECK(events == std::vector<std::size_t>(6, 60));
  const auto status = deployment.entry().WaitForExit(milliseconds(8000));
  REQUIRE(status);
  CHECK(status->code == 0);
}

TEST_CASE("entry: every log line is an object with time, VM and event; failures name their request",
          "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  CHECK(deployment.Call("GET", "/nowhere/x", {{"Request-Id", "traced-1"}})->status == 404);
  CHECK(WaitFor(
      [&] {
        const auto lines = deployment.LogLines("request_ended");
        return std::any_of(lines.begin(), lines.end(), [](const auto& line) {
          return line["request"] == "traced-1" && line["outcome"] == "refused" &&
                 line["reason"] == "no_route" && line["status"] == 404 &&
                 line.contains("configuration") && line.contains("configuration_age_ms") &&
                 line.contains("t_ms") && line["vm"] == "entry-1";
        });
      },
      milliseconds(2000)));
  for (const char* event : {"started", "configuration_changed", "candidates_changed"}) {
    CHECK(!deployment.LogLines(event).empty());
  }
}

}  // namespace
}  // namespace waxwingwing::integration
