#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/unit/mutation.h"
#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"
#include "waxwingwing/platform/engine_client.h"
#include "waxwingwing/platform/json_fields.h"
#include "waxwingwing/platform/log_client.h"
#include "waxwingwing/platform/vm_list_client.h"

namespace waxwingwing {
namespace {

constexpr milliseconds kTimeout{5000};
constexpr int kFuzzRounds = 20000;

const char* const kPage =
    R"({"first_offset":3,"next_offset":7,"records":[)"
    R"({"offset":4,"append_id":"a","payload":{"kind":"lease","n":18446744073709551615}},)"
    R"({"offset":5,"append_id":"","payload":null}]})";

const char* const kVms =
    R"({"vms":[{"id":"e1","role":"engine","service":null,"failure_domain":"ifo",)"
    R"("fabric_domain":"f1","address":"127.0.0.1:1","accelerators":8,"state":"live"},)"
    R"({"id":"d1","role":"service","service":"desk","failure_domain":"ifo","fabric_domain":"",)"
    R"("address":"127.0.0.1:2","accelerators":0,"state":"leaving"}]})";

const char* const kStatus =
    R"({"vm":"e1","incarnation":18446744073709551615,"uptime_ms":1500,"state":"ready",)"
    R"("checks_fencing":true,"fencing_number":9,"assignment":{"replica":"r","model_group":"g",)"
    R"("generation":2,"rank":1,"model":"m","members":["e0","e1"]},"running":3,)"
    R"("kv_tokens_used":100,"kv_tokens_limit":1000,"ms_per_token":12.5})";

read_answer ParsePage(std::string body, std::uint64_t from) {
  return ParseReadAnswer({200, {}, std::move(body)}, log_offset(from));
}

result<backend_report> ParseStatusOfE1(std::string_view text) {
  return ParseStatus(text, vm_id("e1"), failure_domain_id("ifo"), time_point(kTimeout));
}

TEST_CASE("a log page is read with its payloads as text", "[platform]") {
  const read_answer answer = ParsePage(kPage, 4);
  REQUIRE(answer.state == read_state::kPage);
  CHECK(answer.page.first_offset == log_offset(3));
  CHECK(answer.page.next_offset == log_offset(7));
  REQUIRE(answer.page.records.size() == 2);
  // Guards against 64-bit numbers that lose digits when they are parsed.
  CHECK(answer.page.records[0].payload == R"({"kind":"lease","n":18446744073709551615})");
  CHECK(answer.page.records[0].append_id == append_id("a"));
  CHECK(answer.page.records[1].payload == "null");
}

TEST_CASE("log pages out of order are refused", "[platform]") {
  // A record below the requested offset.
  CHECK(ParsePage(kPage, 5).state == read_state::kFailed);
  const std::string start = R"({"first_offset":0,"next_offset":9,"records":[{"offset":)";
  const std::string end = R"(,"append_id":"a","payload":1}]})";
  const std::string middle = R"(,"append_id":"a","payload":1},{"offset":)";
  CHECK(ParsePage(start + "1" + middle + "2" + end, 0).state == read_state::kPage);
  CHECK(ParsePage(start + "2" + middle + "2" + end, 0).state == read_state::kFailed);
  CHECK(ParsePage(start + "2" + middle + "1" + end, 0).state == read_state::kFailed);
  CHECK(ParsePage(start + "2" + middle + "9" + end, 0).state == read_state::kFailed);
  const read_answer failed = ParsePage("{}", 0);
  CHECK(failed.state == read_state::kFailed);
  CHECK(failed.reason.find("$.first_offset") != std::string::npos);
}

TEST_CASE("the log client distinguishes the three outcomes of an append", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  http_client http;
  log_client log(http, server.address(), kTimeout);
  const auto append = [&] {
    return RunAwaitable(context, log.Append("control", append_id("a1"), R"({"k":1})"));
  };
  server.Add({.body = R"({"offset":12})"});
  server.Add({.status = 503});
  server.Add({.status = 500});
  server.Add({.body = "{}"});
  server.Add({.close_unanswered = true});
  const append_answer appended = append();
  CHECK(appended.state == append_state::kAppended);
  CHECK(appended.offset == log_offset(12));
  CHECK(append().state == append_state::kNotAppended);
  CHECK(append().state == append_state::kUnknown);
  CHECK(append().state == append_state::kUnknown);
  CHECK(append().state == append_state::kUnknown);
  CHECK(server.seen().size() == 5);
  CHECK(server.seen()[0].target == "/v1/streams/control/records");
  CHECK(server.seen()[0].body == R"({"append_id":"a1","payload":{"k":1}})");

  log_client unreachable(http, "127.0.0.1:0", kTimeout);
  const append_answer refused =
      RunAwaitable(context, unreachable.Append("control", append_id("a2"), "1"));
  CHECK(refused.state == append_state::kNotAppended);
  const append_answer malformed =
      RunAwaitable(context, log.Append("control", append_id("a3"), "{"));
  CHECK(malformed.state == append_state::kNotAppended);
}

TEST_CASE("the log client reads pages and lapsed offsets", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  http_client http;
  log_client log(http, server.address(), kTimeout);
  server.Add({.body = kPage});
  server.Add({.status = 410, .body = R"({"first_offset":40})"});
  server.Add({.status = 410, .body = "gone"});
  const stream_range range{log_offset(4), 10, milliseconds(20)};
  CHECK(RunAwaitable(context, log.Read("claims", range)).state == read_state::kPage);
  const read_answer lapsed = RunAwaitable(context, log.Read("claims", range));
  CHECK(lapsed.state == read_state::kTrimmed);
  CHECK(lapsed.first_offset == log_offset(40));
  CHECK(RunAwaitable(context, log.Read("claims", range)).state == read_state::kFailed);
  CHECK(server.seen()[0].target == "/v1/streams/claims/records?from=4&limit=10&wait_ms=20");
}

// Guards against reads of another stream, or of none, because of the bytes in a stream's name.
TEST_CASE("the name of a stream is encoded in the request line", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  http_client http;
  log_client log(http, server.address(), kTimeout);
  server.Add({.body = kPage});
  RunAwaitable(context, log.Read("claims of a/b?", {log_offset(4), 10, milliseconds(20)}));
  REQUIRE(server.seen().size() == 1);
  CHECK(server.seen()[0].target ==
        "/v1/streams/claims%20of%20a%2Fb%3F/records?from=4&limit=10&wait_ms=20");
}

TEST_CASE("the VM list filters out invalid rows and reports them together", "[platform]") {
  const auto good = ParseVmList(kVms);
  REQUIRE(good);
  REQUIRE(good->faults.empty());
  REQUIRE(good->entries.size() == 2);
  CHECK(good->entries[0].role == vm_role::kEngine);
  CHECK(good->entries[0].accelerators == 8);
  CHECK(good->entries[1].service == service_id("desk"));
  CHECK(good->entries[1].state == vm_state::kLeaving);

  nlohmann::json rows = nlohmann::json::parse(kVms);
  rows["vms"].push_back(rows["vms"][0]);
  rows["vms"].push_back({{"id", "x"}});
  rows["vms"].push_back(7);
  rows["vms"][1]["address"] = "nowhere";
  const auto mixed = ParseVmList(rows.dump());
  REQUIRE(mixed);
  CHECK(mixed->entries.size() == 1);
  const std::string faults = mixed->faults.ToText();
  CHECK(faults.find("$.vms[1].address") != std::string::npos);
  CHECK(faults.find("$.vms[2].id: occurs twice") != std::string::npos);
  CHECK(faults.find("$.vms[3].role") != std::string::npos);
  CHECK(faults.find("$.vms[4]: must be an object") != std::string::npos);
  CHECK_FALSE(ParseVmList(R"({"vms":{}})"));
}

TEST_CASE("the VM list client reads over HTTP", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  http_client http;
  vm_list_client list(http, server.address(), kTimeout);
  server.Add({.body = kVms});
  server.Add({.status = 500});
  CHECK(RunAwaitable(context, list.Read())->entries.size() == 2);
  CHECK_FALSE(RunAwaitable(context, list.Read()));
}

TEST_CASE("an engine status becomes a report", "[platform]") {
  const auto report = ParseStatusOfE1(kStatus);
  REQUIRE(report);
  CHECK(report->incarnation == incarnation(UINT64_MAX));
  CHECK(report->sequence == 1500);
  CHECK(report->uptime == milliseconds(1500));
  CHECK(report->state == backend_state::kReady);
  CHECK(report->checks_fencing);
  CHECK(report->fencing == fencing_number(9));
  CHECK(report->assignment->rank == 1);
  CHECK(report->assignment->members == std::vector<vm_id>{vm_id("e0"), vm_id("e1")});
  CHECK(report->running == request_count(3));
  CHECK(report->ms_per_token == 12.5);
  CHECK(report->failure_domain == failure_domain_id("ifo"));
  CHECK(report->taken_at == time_point(kTimeout));
  // A plain service reports neither load limits nor an assignment.
  CHECK(
      ParseStatusOfE1(R"({"vm":"e1","incarnation":1,"uptime_ms":2,"state":"ready","running":1})"));
}

// Guards against a report attributed to the wrong VM after its address was reassigned.
TEST_CASE("a status of another VM is refused", "[platform]") {
  CHECK_FALSE(ParseStatus(kStatus, vm_id("e2"), failure_domain_id("ifo"), time_point()));
  nlohmann::json status = nlohmann::json::parse(kStatus);
  status["assignment"]["rank"] = 2;
  status["state"] = "odd";
  const auto failed = ParseStatusOfE1(status.dump());
  REQUIRE_FALSE(failed);
  CHECK(failed.reason().find("$.assignment.rank") != std::string::npos);
  CHECK(failed.reason().find("$.state") != std::string::npos);
}

TEST_CASE("orders are accepted, refused as stale or failed", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  http_client http;
  manual_clock clock;
  engine_client engine(http, clock);
  replica_order order;
  order.target = vm_id("e1");
  order.target_address = server.address();
  order.members = {{vm_id("e1"), server.address()}};
  const auto send = [&] {
    return RunAwaitable(context, engine.SendOrder(order, failure_domain_id("ifo"), kTimeout));
  };
  server.Add({.body = kStatus});
  server.Add({.status = 409});
  server.Add({.close_unanswered = true});
  const order_answer accepted = send();
  CHECK(accepted.state == order_state::kAccepted);
  CHECK(accepted.report->taken_at == clock.Now());
  CHECK(send().state == order_state::kStale);
  CHECK(send().state == order_state::kFailed);
  CHECK(server.seen()[0].body == server.seen()[1].body);
  CHECK(nlohmann::json::parse(server.seen()[0].body)["kind"] == "assign");
}

TEST_CASE("an engine is polled and an attempt is cancelled", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  http_client http;
  const manual_clock clock;
  engine_client engine(http, clock);
  vm_entry vm;
  vm.id = vm_id("e1");
  vm.address = server.address();
  server.Add({.body = kStatus});
  server.Add({});
  server.Add({.status = 404});
  server.Add({.status = 500});
  CHECK(RunAwaitable(context, engine.Status(vm, kTimeout)));
  const auto cancel = [&] {
    return RunAwaitable(context, engine.Cancel(vm.address, attempt_id("a"), kTimeout));
  };
  CHECK(*cancel());
  CHECK_FALSE(*cancel());
  CHECK_FALSE(cancel());
  CHECK(server.seen()[1].body == R"({"attempt_id":"a"})");
}

// Guards against a stack overflow when a deeply nested payload is printed.
TEST_CASE("deeply nested JSON is refused", "[platform]") {
  CHECK(ParseJson(std::string(64, '[') + std::string(64, ']')));
  CHECK_FALSE(ParseJson(std::string(200000, '[') + std::string(200000, ']')));
  CHECK(ParseJson(R"(["\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["])"));
}

TEST_CASE("mutated answers never make a parser throw", "[platform][fuzz]") {
  random_source random(20240611);
  for (int i = 0; i < kFuzzRounds; ++i) {
    const std::string page = Mutate(kPage, random);
    const std::string vms = Mutate(kVms, random);
    const std::string status = Mutate(kStatus, random);
    REQUIRE_NOTHROW(ParsePage(page, 0));
    REQUIRE_NOTHROW(ParseReadAnswer({410, {}, page}, log_offset(0)));
    REQUIRE_NOTHROW(ParseAppendAnswer({http_reply{200, {}, page}, false}));
    REQUIRE_NOTHROW((void)ParseVmList(vms));
    REQUIRE_NOTHROW((void)ParseStatusOfE1(status));
  }
}

}  // namespace
}  // namespace waxwingwing
