#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "platform/base64.h"
#include "platform/header_codec.h"
#include "platform/order_client.h"
#include "platform/record_decoder.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"
#include "tests/unit/mutation.h"
#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

json ConfigurationRecord() {
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"r1","host":"h.example","path_prefix":"/a/","type":"streaming","timeout_ms":8000,
       "goal_ms":400,"priority":1,"backends":[{"service":"pool","weight":90},
       {"service":"desk","weight":10}],"attempts":2,"anonymous":false,"can_resume":true,
       "gap_goal_ms":250},
      {"name":"r2","host":"h.example","path_prefix":"/b/","type":"non_idempotent",
       "timeout_ms":800,"goal_ms":100,"priority":2,"service":"desk","attempts":1,
       "anonymous":true}],
    "services":[{"name":"pool","max_conns":354,"cold_per_s":26.0,"engine":{"slots":26,
       "models":[{"name":"large","size":6,"share":0.67},{"name":"small","size":3,"share":0.33}]}},
      {"name":"desk","max_conns":110,"cold_per_s":0.0}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
       "idle_timeout_ms":15000},
    "tenants":[{"name":"first","api_keys":["k1","k2"],"priority":3}]})");
}

json ServerRecord() {
  return json::parse(R"({"service":"pool","addr":"10.0.0.9:8080","zone":"ifo","version":"v1",
    "slots":26,"state":"ready","cold_left_ms":0,"domain":"ifo-d0","staged":["large"],"born":17,
    "models":[{"name":"large","version":1}],"seq":4,
    "group":{"name":"serve:large:9","epoch":9,"rank":2,"state":"open"}})");
}

json SettingsRecord() {
  return json::parse(R"({"node_name":"n1","zone":"ifo","ip":"10.0.0.1","bootstrap":true,
    "port_range":[7340,7355],"listen":{"front":"10.0.0.1:80","ready":"10.0.0.1:81"},
    "zones":{"ifo":"west"},"unknown":{"x":1},
    "bounds":{"strict_revoke":true,"revoke_ms":5000,"config_apply_ms":3000,"drain_ms":2000,"grace_s":8,"retry_ratio":0.2,
    "retry_slack":136,"retry_window_s":10},
    "platform":{"addr":"10.2.0.1:90","parts":12,"ttl_min_ms":1000}})");
}

TEST_CASE("a platform configuration is decoded into routes, services and organisations",
          "[platform]") {
  const auto decoded = DecodeConfiguration(ConfigurationRecord().dump());
  REQUIRE(decoded);
  const traffic_configuration& configuration = **decoded;
  CHECK(configuration.version == 7);
  const traffic_route* stream = configuration.Match("h.example", "/a/x");
  REQUIRE(stream != nullptr);
  CHECK(stream->repeat == repeat_rule::kStream);
  CHECK(stream->MayRepeat());
  CHECK(stream->services.size() == 2);
  const traffic_route* once = configuration.Match("h.example", "/b/x");
  REQUIRE(once != nullptr);
  CHECK(!once->MayRepeat());
  CHECK(once->anonymous);
  CHECK(configuration.OrganisationOf("k2")->id == organisation_id("first"));
  CHECK(configuration.OrganisationOf("k3") == nullptr);
  CHECK(configuration.ServiceById(service_id("pool"))->models.size() == 2);
}

TEST_CASE("the store client joins a limited number of topics", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  metrics_registry metrics;
  http_client http(&metrics);
  for (const std::size_t partitions : {1U, 12U, 24U, 500U}) {
    store_client store(http, server.address(), partitions);
    server.Add({200, R"({"generation":7,"parts":[["waxwingwing-control-0",0,0],["other",1,0]]})"});
    const auto view = RunAwaitable(
        context, store.KeepMembership("vm/process/10.0.0.1:7340", 0, milliseconds(1200)));
    REQUIRE(view);
    CHECK(view->partition_assignment.held == std::set<std::size_t>{0});
    // The store keeps at most 100 topics, including those for other purposes.
    const auto topics = json::parse(server.seen().back().body)["topics"];
    CHECK(topics.size() <= 50);
    CHECK(view->partition_assignment.all == topics.size() * partitions);
  }
}

TEST_CASE("the store client reads the controller's lease and appends to it on a condition",
          "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  metrics_registry metrics;
  http_client http(&metrics);
  store_client store(http, server.address(), 12);
  server.Add({200, R"({"end":0,"has_more":false,"items":[]})"});
  CHECK(*RunAwaitable(context, store.ReadLease()) == lease_record{"", 0});
  server.Add({200, R"({"end":5,"has_more":false,"items":[{"key":"other","value":"eA=="},
      {"key":"controller","value":"YS9wLzEwLjAuMC4xOjE="}]})"});
  CHECK(*RunAwaitable(context, store.ReadLease()) == lease_record{"a/p/10.0.0.1:1", 5});
  server.Add({200, R"({"offset":5,"end":6})"});
  const auto appended = RunAwaitable(context, store.AppendLease("b", 5));
  REQUIRE(appended);
  CHECK(appended->appended);
  CHECK(appended->end == 6);
  CHECK(server.seen().back().target == "/v1/log-append?topic=keyed.waxwingwing-lease&part=0&at=5");
  CHECK(server.seen().back().body == std::string("\0\0\0\x0c\x0a"
                                                 "controllerb",
                                                 16));
  server.Add({412, R"({"end":7})"});
  const auto refused = RunAwaitable(context, store.AppendLease("b", 5));
  REQUIRE(refused);
  CHECK(!refused->appended);
  CHECK(refused->end == 7);
  for (const auto& [status, body] :
       {std::pair{200U, "{}"}, {200U, "x"}, {503U, "{}"}, {412U, "{}"}}) {
    server.Add({status, body});
    CHECK(!RunAwaitable(context, store.AppendLease("b", 5)));
  }
}

// Guards against VMs that find no registration at all because of one entry that no server wrote.
TEST_CASE("an unreadable entry does not hide the other newest records", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  metrics_registry metrics;
  http_client http(&metrics);
  store_client store(http, server.address(), 12);
  server.Add({200, R"({"end":9,"has_more":false,"items":[{"key":"a","value":"aGVsbG8="},7,
      {"key":"","value":"aGVsbG8="},{"key":4},{"key":"b","value":["aGVsbG8="]},
      {"key":"c","value":"aGVsbG8="}]})"});
  const auto page = RunAwaitable(context, store.ReadNewest(store_stream::kServers));
  REQUIRE(page);
  REQUIRE(page->records.size() == 3);
  CHECK(page->records[0].value == "hello");
  // Its key can be read, so that it is not taken for an absent one; its value names no server.
  CHECK(page->records[1].key == "b");
  CHECK(page->records[1].value == "");
  CHECK(page->records.back().key == "c");
  CHECK(page->records.back().value == "hello");
}

// Guards against taking an interim response for the outcome of an order, and the order's own answer
// for the report that was requested next.
TEST_CASE("an order's outcome is that of its final answer", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  metrics_registry metrics;
  http_client http(&metrics);
  order_client orders(http);
  formation_order leave;
  leave.action = formation_action::kLeave;
  leave.address = server.address();
  server.Add({.status = 409, .bytes_before = "HTTP/1.1 102 Processing\r\n\r\n"});
  const auto outcome = [&](const formation_order& order) {
    return RunAwaitable(context, orders.Send(order, milliseconds(1000))).outcome;
  };
  CHECK(outcome(leave) == order_outcome::kConflict);
  formation_order probe = leave;
  probe.action = formation_action::kProbe;
  server.Add({.body = R"({"stage":"both","models":[]})"});
  CHECK(outcome(probe) == order_outcome::kAccepted);
  // Neither status says that the server has carried out the order, or that it will not.
  for (const std::string status : {"100 OK", "000 OK"}) {
    server.Add({.raw_answer = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"});
    CHECK(outcome(leave) == order_outcome::kNoAnswer);
  }
}

/// Sends orders and probes to a scripted server.
struct orders_fixture {
  boost::asio::io_context context;
  scripted_http_server server{context};
  http_client http;
  order_client orders{http};

  order_outcome Send(formation_action action) {
    formation_order order;
    order.action = action;
    order.address = server.address();
    return RunAwaitable(context, orders.Send(order, milliseconds(1000))).outcome;
  }
};

constexpr const char* kReport = R"({"stage":"both","models":[]})";

// Guards against taking the second copy of a probe's answer for the answer to the order that
// follows it, so that a group counts as left by a head that still serves it.
TEST_CASE("the copy of an earlier answer is not the outcome of an order", "[platform]") {
  orders_fixture test;
  const std::string echoed = GENERATE("", "Request-Id");
  INFO(echoed);
  test.server.Add({.body = kReport, .echoed_header = echoed});
  CHECK(test.Send(formation_action::kProbe) == order_outcome::kAccepted);
  test.server.Add(
      {.status = 409, .echoed_header = echoed, .copy_previous_answer = !echoed.empty()});
  CHECK(test.Send(formation_action::kLeave) == order_outcome::kConflict);
  test.server.Add(
      {.body = kReport, .echoed_header = echoed, .copy_previous_answer = !echoed.empty()});
  CHECK(test.Send(formation_action::kProbe) == order_outcome::kAccepted);
  // Without ids, a copy cannot be distinguished from the answer.
  CHECK(test.server.connections() == (echoed.empty() ? 3 : 1));
}

// Guards against a new connection for each probe of a server that does not repeat ids, and against
// a report from before an order that is taken for one from after it.
TEST_CASE("probes share a connection until an order is sent to the server", "[platform]") {
  orders_fixture test;
  for (int i = 0; i < 3; ++i) {
    test.server.Add({.body = kReport});
    CHECK(test.Send(formation_action::kProbe) == order_outcome::kAccepted);
  }
  CHECK(test.server.connections() == 1);
  test.server.Add({});
  CHECK(test.Send(formation_action::kLeave) == order_outcome::kAccepted);
  CHECK(test.server.connections() == 2);
  test.server.Add({.body = kReport});
  CHECK(test.Send(formation_action::kProbe) == order_outcome::kAccepted);
  CHECK(test.server.connections() == 3);
  // An order never takes a connection of probes.
  test.server.Add({});
  CHECK(test.Send(formation_action::kLeave) == order_outcome::kAccepted);
  CHECK(test.server.connections() == 4);
}

// Guards against an order's answer that has the id of an earlier send of the same order.
TEST_CASE("every order and probe has an id of its own", "[platform]") {
  orders_fixture test;
  std::set<std::string> ids;
  for (const formation_action action : {formation_action::kLeave, formation_action::kLeave,
                                        formation_action::kProbe, formation_action::kProbe}) {
    test.server.Add({.body = kReport, .echoed_header = "Request-Id"});
    CHECK(test.Send(action) == order_outcome::kAccepted);
    ids.insert(test.server.seen().back().echoed_value);
  }
  CHECK(ids.size() == 4);
  CHECK_FALSE(ids.contains(""));
}

// Guards against holding a megabyte of an endless report for each of the many servers that the
// controller may probe at once.
TEST_CASE("a report that is far too large is given up early", "[platform]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  metrics_registry metrics;
  http_client http(&metrics);
  order_client orders(http);
  formation_order probe;
  probe.action = formation_action::kProbe;
  probe.address = server.address();
  server.Add({.endless_bytes = "HTTP/1.1 200 OK\r\n\r\n"});
  const order_reply reply = RunAwaitable(context, orders.Send(probe, milliseconds(1000)));
  CHECK(reply.outcome == order_outcome::kNoAnswer);
  CHECK_FALSE(reply.membership);
  const metric_labels labels = {{"service", "orders"}};
  CHECK(metrics.Counter("waxwingwing_platform_bytes_received_total", labels).value() <
        std::size_t{256} * 1024);
}

TEST_CASE("requests of a route of unknown type run at most once", "[platform]") {
  json record = ConfigurationRecord();
  record["routes"][0]["type"] = "new_type";
  const auto decoded = DecodeConfiguration(record.dump());
  REQUIRE(decoded);
  CHECK(!(*decoded)->Match("h.example", "/a/x")->MayRepeat());
}

TEST_CASE("all faults of a configuration are reported with their field paths", "[platform]") {
  json record = ConfigurationRecord();
  record["routes"][0].erase("host");
  record["services"][1].erase("name");
  const auto decoded = DecodeConfiguration(record.dump());
  REQUIRE(!decoded);
  CHECK(decoded.reason().find("routes.0.host") != std::string::npos);
  CHECK(decoded.reason().find("services.1.name") != std::string::npos);
}

TEST_CASE("a registration is decoded, and a malformed one from another writer yields no server",
          "[platform]") {
  const auto server = DecodeServer("i-1", ServerRecord().dump());
  REQUIRE(server);
  CHECK(server->fabric == fabric_domain_id("ifo-d0"));
  CHECK(server->membership->rank == 2);
  CHECK(server->membership->state == membership_state::kOpen);
  CHECK(server->model == "large");
  for (const char* field : {"service", "addr", "state", "seq", "slots"}) {
    json broken = ServerRecord();
    broken.erase(field);
    CHECK(!DecodeServer("i-1", broken.dump()));
  }
  json strange = ServerRecord();
  strange["state"] = "asleep";
  CHECK(!DecodeServer("i-1", strange.dump()));
  CHECK(!DecodeServer("i-1", "\xff\xfe"));
}

// Guards against headers that another writer adds to requests: the id of a server, and the name of
// an organisation, are sent in a header.
TEST_CASE("texts that cannot be sent in a header are refused", "[platform]") {
  const std::vector<std::string> bad_texts = {"a\r\nX: y", "a\nb", "a\tb", std::string("a\0b", 3),
                                              "\x7f",      " a",   "a ",   ""};
  for (const std::string& bad : bad_texts) {
    CHECK(!DecodeServer(bad, ServerRecord().dump()));
    json record = ConfigurationRecord();
    record["tenants"][0]["name"] = bad;
    CHECK(!DecodeConfiguration(record.dump()));
  }
  CHECK(DecodeServer("rack 5 caf\xc3\xa9", ServerRecord().dump()));
}

// Guards against times, counts and epochs out of a registration that overflow or use up the memory,
// and against a server at a port to which nothing can connect.
TEST_CASE("a registration with a number that is too large yields no server", "[platform]") {
  const auto is_decoded = [](const std::string& path, const json& value) {
    json record = ServerRecord();
    record[json::json_pointer(path)] = value;
    return DecodeServer("i-1", record.dump()).has_value();
  };
  CHECK(is_decoded("/cold_left_ms", 3000));
  CHECK_FALSE(is_decoded("/cold_left_ms", 1e300));
  CHECK_FALSE(is_decoded("/cold_left_ms", std::numeric_limits<std::uint64_t>::max()));
  CHECK_FALSE(is_decoded("/slots", std::numeric_limits<std::uint64_t>::max()));
  CHECK_FALSE(is_decoded("/born", std::numeric_limits<std::uint64_t>::max()));
  CHECK_FALSE(is_decoded("/seq", std::numeric_limits<std::uint64_t>::max()));
  CHECK_FALSE(is_decoded("/group/rank", 1000000));
  CHECK_FALSE(is_decoded("/group/epoch", std::numeric_limits<std::uint64_t>::max()));
  for (const char* address :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1"}) {
    INFO(address);
    CHECK_FALSE(is_decoded("/addr", address));
  }
  const std::string huge = R"("cold_left_ms":1e999)";
  std::string text = ServerRecord().dump();
  text.replace(text.find(R"("cold_left_ms":0)"), huge.size() - 4, huge);
  CHECK_FALSE(DecodeServer("i-1", text));
  CHECK_FALSE(DecodeServer("i-1", std::string(100000, '[')));
}

TEST_CASE("records with random faults are refused or decoded without a crash", "[platform][fuzz]") {
  random_source random(11);
  const std::string configuration = ConfigurationRecord().dump();
  const std::string server = ServerRecord().dump();
  const std::string settings = SettingsRecord().dump();
  for (int i = 0; i < 3000; ++i) {
    (void)DecodeConfiguration(Mutate(configuration, random)).has_value();
    (void)DecodeServer("i-1", Mutate(server, random)).has_value();
    (void)DecodeReport(Mutate(server, random)).has_value();
    finding_list findings;
    (void)ParseSettingsFile(Mutate(settings, random), findings);
    (void)DecodeBase64(Mutate("aGVsbG8gd29ybGQ=", random)).has_value();
  }
}

TEST_CASE("keys of the operators' records are decoded", "[platform]") {
  CHECK(DecodeOperatorKey("config").is_configuration);
  CHECK(DecodeOperatorKey("evacuate/ifo").evacuated == failure_domain_id("ifo"));
  CHECK(!DecodeOperatorKey("other").evacuated);
}

TEST_CASE("settings are read, and all their faults are reported", "[platform]") {
  finding_list findings;
  const entry_settings settings = ParseSettingsFile(SettingsRecord().dump(), findings);
  CHECK(findings.empty());
  CHECK(settings.vm == vm_id("n1"));
  CHECK(settings.store_address == "10.2.0.1:90");
  CHECK(settings.termination_grace_period == milliseconds(8000));
  json broken = SettingsRecord();
  broken.erase("node_name");
  broken["listen"]["ready"] = "nowhere";
  broken["platform"].erase("parts");
  ParseSettingsFile(broken.dump(), findings);
  CHECK(findings.all().size() == 3);
}

TEST_CASE("base64 is decoded", "[platform]") {
  CHECK(*DecodeBase64("aGVsbG8=") == "hello");
  CHECK(*DecodeBase64("aGVsbG8h") == "hello!");
  CHECK(DecodeBase64("")->empty());
  CHECK(!DecodeBase64("a*b="));
}

TEST_CASE("a caller's headers are read, and replaced for the backend server", "[platform]") {
  const header_codec codec;
  http_fields fields;
  fields.set("Request-Id", "r1");
  fields.set("Deadline-Ms", "800");
  fields.set("Api-Key", "secret");
  fields.set("Tenant", "forged");
  fields.set("Last-Event-Id", "4");
  fields.set("Model", "large");
  const request_metadata facts = codec.ReadRequestMetadata(fields);
  CHECK(facts.fault.empty());
  CHECK(facts.deadline == milliseconds(800));
  CHECK(facts.last_event == 4);
  codec.WriteRequestHeaders(
      fields, {backend_server_id("i-1"), milliseconds(500), 6, organisation_id("first"), 2});
  CHECK(fields["Api-Key"].empty());
  CHECK(fields["Tenant"] == "first");
  CHECK(fields["Expect-Instance"] == "i-1");
  CHECK(fields["Deadline-Ms"] == "500");
  CHECK(fields["Last-Event-Id"] == "6");
  CHECK(fields["Model"] == "large");
}

TEST_CASE("the stated size of a request is read, and malformed values count as absent",
          "[platform]") {
  const header_codec codec;
  const auto read = [&](const char* usage, const char* hint) {
    http_fields fields;
    fields.set("Request-Id", "r1");
    fields.set("Token-Usage", usage);
    fields.set("Length-Hint", hint);
    const request_metadata metadata = codec.ReadRequestMetadata(fields);
    CHECK(metadata.fault.empty());
    return metadata.size;
  };
  const request_size size = read("1460, 80", "60");
  CHECK(size.prompt == token_count(1460));
  CHECK(size.max_output == token_count(80));
  CHECK(size.output_hint == token_count(60));
  CHECK(!read("1460", "x").max_output);
  for (const char* usage : {"", "-1,-1", "a,b", "1e3,1e3", "99999999999,99999999999"}) {
    CHECK(!read(usage, usage).prompt);
    CHECK(!read(usage, usage).max_output);
    CHECK(!read(usage, usage).output_hint);
  }
}

TEST_CASE("the times of a service's groups are read, and faulty ones reject no configuration",
          "[platform]") {
  json record = ConfigurationRecord();
  CHECK(!(*DecodeConfiguration(record.dump()))->services()[0].engine);
  json& engine = record["services"][0]["engine"];
  engine["models"][1]["pace"] = 0.6;
  engine.update({{"step_ms", 7.8}, {"read_per_s", 45900.0}, {"stride", 6}, {"chunk", 2048}});
  engine.update({{"kv_capacity", 1860000}, {"usual", {{"prompt", 856}, {"answer", 158}}}});
  engine["per_seq_ms"] = "much";
  const auto decoded = DecodeConfiguration(record.dump());
  REQUIRE(decoded);
  const service_settings& service = (*decoded)->services()[0];
  REQUIRE(service.engine);
  CHECK(service.engine->step_time == fractional_milliseconds(7.8));
  CHECK(service.engine->step_time_per_sequence == fractional_milliseconds(0));
  CHECK(service.engine->steps_per_event == 6);
  CHECK(service.engine->kv_capacity == token_count(1860000));
  CHECK(service.engine->usual_output == token_count(158));
  CHECK(service.models[0].pace == 1);
  CHECK(service.models[1].pace == 0.6);
  engine["step_ms"] = -1;
  CHECK(!(*DecodeConfiguration(record.dump()))->services()[0].engine);
}

TEST_CASE("a forged organisation is not passed on for a route without keys", "[platform]") {
  const header_codec codec;
  http_fields fields;
  fields.set("Request-Id", "r1");
  fields.set("Tenant", "forged");
  codec.WriteRequestHeaders(fields, {backend_server_id("i-1"), milliseconds(500), {}, {}, 0});
  CHECK(fields["Tenant"].empty());
}

TEST_CASE("missing or malformed headers are reported as a fault", "[platform]") {
  const header_codec codec;
  http_fields fields;
  CHECK(!codec.ReadRequestMetadata(fields).fault.empty());
  fields.set("Request-Id", "r1");
  fields.set("Deadline-Ms", "soon");
  CHECK(!codec.ReadRequestMetadata(fields).fault.empty());
}

TEST_CASE("an error counts as not executed only when the server states it", "[platform]") {
  const header_codec codec;
  http_fields fields;
  CHECK(!codec.ReadResponseMetadata(503, fields).not_executed);
  CHECK(codec.ReadResponseMetadata(421, fields).not_executed);
  fields.set("Not-Executed", "1");
  CHECK(codec.ReadResponseMetadata(503, fields).not_executed);
  CHECK(!codec.ReadResponseMetadata(200, fields).not_executed);
  fields.set("Keep-Alive", "timeout=5, max=3");
  CHECK(codec.ReadResponseMetadata(200, fields).idle_limit == milliseconds(5000));
}

std::optional<milliseconds> RestOf(unsigned status, const char* retry_after) {
  http_fields fields;
  fields.set("Retry-After", retry_after);
  return header_codec().ReadResponseMetadata(status, fields).notice.rest;
}

// Guards against keeping requests off a server for a time that it did not ask for.
TEST_CASE("the time for which a server wants no requests is read from its refusals", "[platform]") {
  CHECK(RestOf(503, "4") == milliseconds(4000));
  CHECK(RestOf(503, "0.25") == milliseconds(250));
  CHECK(RestOf(503, "99999999999999999999") == milliseconds(86400000));
  CHECK_FALSE(RestOf(200, "4"));
  CHECK_FALSE(RestOf(421, "4"));
  for (const char* malformed : {"", "0", "-1", "soon", "4s", "1e3", "inf", "nan", "4 5"}) {
    INFO(malformed);
    CHECK_FALSE(RestOf(503, malformed));
  }
}

TEST_CASE("a server's statement that it leaves is read from answers and refusals", "[platform]") {
  const header_codec codec;
  http_fields fields;
  CHECK_FALSE(codec.ReadResponseMetadata(200, fields).notice.leaving);
  fields.set("Server-Leaving", "1");
  for (const unsigned status : {200U, 404U, 421U, 429U, 500U, 503U}) {
    CHECK(codec.ReadResponseMetadata(status, fields).notice.leaving);
  }
}

}  // namespace
}  // namespace waxwingwing
