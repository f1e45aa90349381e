#include "entry/configuration_controller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/unit/big_endian.h"
#include "tests/unit/encode_base64.h"
#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"

namespace waxwingwing {
namespace {

std::string ConfigurationText(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

/// A page of the store with one record, of a stream that ends at `end`.
std::string PageOf(std::uint64_t end, const std::string& key, const std::string& value) {
  const std::string record = static_cast<char>(key.size()) + key + value;
  return BigEndian(end, 8) + BigEndian(0, 8) + BigEndian(record.size(), 4) + record;
}

/// The same with a configuration.
std::string Page(std::uint64_t end, int version) {
  return PageOf(end, "config", ConfigurationText(version));
}

/// The newest records of a stream: a configuration and, if `evacuated`, the request to evacuate a
/// domain.
std::string Newest(std::uint64_t end, int version, bool evacuated = false) {
  std::string items =
      R"({"key":"config","value":")" + EncodeBase64(ConfigurationText(version)) + R"("})";
  if (evacuated) items += R"(,{"key":"evacuate/ifo","value":"e30="})";
  return R"({"end":)" + std::to_string(end) + R"(,"has_more":false,"items":[)" + items + "]}";
}

/// An answer of the store in one of its eras.
scripted_http_server::step InEra(int era, std::string body, std::uint32_t status = 200) {
  scripted_http_server::step answer;
  answer.status = status;
  answer.body = std::move(body);
  answer.headers = {{"Store-Era", std::to_string(era)}};
  return answer;
}

/// A configuration controller of a VM that is not the controller.
struct configuration_fixture {
  void Start() { boost::asio::co_spawn(context, configuration.Run(), boost::asio::detached); }
  bool RunUntilSeen(std::size_t requests) {
    return RunUntil(context, [&] { return server.seen().size() >= requests; });
  }
  /// Lets answers that have arrived be handled.
  void RunFor(milliseconds time) {
    const auto until = std::chrono::steady_clock::now() + time;
    RunUntil(context, [&] { return std::chrono::steady_clock::now() >= until; });
  }
  bool RunUntilVersion(std::uint64_t version) {
    return RunUntil(context,
                    [&] { return state.configuration && state.configuration->version == version; });
  }

  boost::asio::io_context context;
  scripted_http_server server{context};
  manual_clock clock;
  entry_settings settings;
  entry_state state;
  metrics_registry metrics;
  event_log log{clock, "vm", [](std::string_view text) { return text.size(); }};
  entry_context entry{context, clock, settings, state, log, metrics};
  http_client http{&metrics};
  store_client store{http, server.address(), 12};
  /// Whether there is a VM that can be asked for records, and the places stated to it.
  bool has_parent = false;
  std::vector<std::optional<store_position>> requests;
  int passed_on = 0;
  configuration_controller configuration{entry,
                                         store,
                                         {[] { return false; }, [] {}, [this] { ++passed_on; },
                                          [this](const std::optional<store_position>& known) {
                                            if (has_parent) requests.push_back(known);
                                            return has_parent;
                                          }}};
};

// Guards against keys that are accepted although they were taken away: a VM that the store had
// turned away read three of six versions in its first page, and took its keys to be current.
TEST_CASE("keys are not confirmed by a read that leaves newer records unread", "[entry]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  server.Add({200, R"({"end":5,"has_more":false,"items":[]})"});
  server.Add({200, Page(7, 7)});
  server.Add({200, Page(7, 8)});
  manual_clock clock;
  entry_settings settings;
  entry_state state;
  metrics_registry metrics;
  event_log log(clock, "vm", [](std::string_view text) { return text.size(); });
  entry_context entry{context, clock, settings, state, log, metrics};
  http_client http(&metrics);
  store_client store(http, server.address(), 12);
  configuration_controller configuration(
      entry, store,
      {[] { return false; }, [] {}, [] {}, [](const auto& /*known*/) { return false; }});
  boost::asio::co_spawn(context, configuration.Run(), boost::asio::detached);
  const auto has_version = [&](std::uint64_t version) {
    return [&state, version] {
      return state.configuration && state.configuration->version == version;
    };
  };
  REQUIRE(RunUntil(context, has_version(7)));
  CHECK(!state.keys_confirmed_at);
  CHECK(!state.configuration_confirmed_at);
  REQUIRE(RunUntil(context, has_version(8)));
  CHECK(state.keys_confirmed_at);
}

// Guards against a version that is never read: after a restore of the store more was written again
// than had been lost, so that a VM that reads on at its offset skips records.
TEST_CASE("records that a restored store holds before the known offset are read", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.server.Add(InEra(2, PageOf(6, "other", "x")));
  fixture.server.Add(InEra(2, Newest(6, 6)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  fixture.clock.Advance(std::chrono::seconds(3));
  CHECK(fixture.RunUntilVersion(6));
}

// Guards against keys that are accepted after they were taken away, because the copy from which the
// store was restored is older than the configuration that took them away.
TEST_CASE("a restored store confirms nothing while its configuration is older", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.server.Add(InEra(2, R"({"first":0})", 410));
  fixture.server.Add(InEra(2, Newest(4, 4)));
  fixture.server.Add(InEra(2, Page(5, 5)));
  fixture.server.Add(InEra(2, BigEndian(5, 8) + BigEndian(0, 8)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.state.keys_confirmed_at.has_value(); }));
  const time_point before = *fixture.state.keys_confirmed_at;
  fixture.clock.Advance(std::chrono::seconds(3));
  REQUIRE(fixture.RunUntilSeen(4));
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.state.configuration->version == 5);
  CHECK(*fixture.state.keys_confirmed_at == before);
  fixture.clock.Advance(std::chrono::seconds(1));
  CHECK(RunUntil(fixture.context, [&] { return *fixture.state.keys_confirmed_at > before; }));
}

// Guards against callers that are refused because no key is confirmed again in time after a
// restore.
TEST_CASE("a restored store with the known configuration confirms it soon", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.server.Add(InEra(2, R"({"first":0})", 410));
  fixture.server.Add(InEra(2, Newest(4, 5)));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.state.keys_confirmed_at.has_value(); }));
  const time_point before = *fixture.state.keys_confirmed_at;
  fixture.clock.Advance(std::chrono::seconds(3));
  REQUIRE(fixture.RunUntilSeen(3));
  fixture.RunFor(milliseconds(200));
  CHECK(*fixture.state.keys_confirmed_at == before);
  fixture.clock.Advance(milliseconds(600));
  // A read that began earlier may take the first of these answers.
  for (int i = 0; i < 3; ++i) fixture.server.Add(InEra(2, BigEndian(4, 8) + BigEndian(0, 8)));
  CHECK(RunUntil(fixture.context, [&] { return *fixture.state.keys_confirmed_at > before; }));
  CHECK(fixture.server.seen().back().target.ends_with("wait_ms=250"));
}

// Guards against requests to a domain that the operators had evacuated before the store was
// restored from a copy without that record.
TEST_CASE("a restored store ends an evacuation only after the operators' rewrite", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5, true)));
  fixture.server.Add(InEra(2, R"({"first":0})", 410));
  fixture.server.Add(InEra(2, Newest(4, 5)));
  fixture.Start();
  const failure_domain_id domain("ifo");
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.state.directory.IsEvacuated(domain); }));
  fixture.clock.Advance(std::chrono::seconds(3));
  REQUIRE(fixture.RunUntilSeen(3));
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.state.directory.IsEvacuated(domain));
  // A read of updates that is under way takes the first of these answers.
  for (int i = 0; i < 3; ++i) fixture.server.Add(InEra(2, Newest(4, 5)));
  fixture.clock.Advance(std::chrono::seconds(3));
  CHECK(RunUntil(fixture.context, [&] { return !fixture.state.directory.IsEvacuated(domain); }));
}

// Guards against keys that stay in force although the operators have taken them away, in a version
// that this VM cannot read.
TEST_CASE("keys are not confirmed while the newest configuration cannot be read", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 1)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(1));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.state.keys_confirmed_at.has_value(); }));
  const time_point confirmed_at = *fixture.state.keys_confirmed_at;
  fixture.clock.Advance(std::chrono::seconds(4));
  fixture.server.Add(InEra(1, PageOf(6, "config", R"({"version":2})")));
  REQUIRE(fixture.RunUntilSeen(2));
  fixture.RunFor(milliseconds(50));
  CHECK(*fixture.state.keys_confirmed_at == confirmed_at);
  CHECK(fixture.state.configuration->version == 1);
  fixture.clock.Advance(std::chrono::seconds(4));
  fixture.server.Add(InEra(1, Page(7, 3)));
  REQUIRE(fixture.RunUntilVersion(3));
  fixture.RunFor(milliseconds(50));
  CHECK(*fixture.state.keys_confirmed_at > confirmed_at);
}

/// Records that are passed on, in the era in which the fixture's store begins.
operators_update UpdateOf(std::optional<std::uint64_t> from, std::uint64_t next, int version) {
  operators_update update;
  if (from) update.from = store_position{store_era(1), *from};
  update.next = {store_era(1), next};
  update.records = {{"config", ConfigurationText(version)}};
  return update;
}

operators_view ViewOf(const configuration_fixture& fixture, std::uint64_t next) {
  return {{store_era(1), next}, fixture.clock.Now(), fixture.clock.Now()};
}

// Guards against versions that are in force too late: all VMs read a large record at the same
// moment, and the store's link was too narrow for all of them.
TEST_CASE("records that are passed on are not read from the store", "[entry]") {
  configuration_fixture fixture;
  fixture.has_parent = true;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  fixture.configuration.OnControllerView(ViewOf(fixture, 6));
  REQUIRE(RunUntil(fixture.context, [&] { return !fixture.requests.empty(); }));
  CHECK(fixture.requests.back() == store_position{store_era(1), 5});
  fixture.configuration.OnUpdate(UpdateOf(5, 6, 6));
  CHECK(fixture.state.configuration->version == 6);
  CHECK(fixture.passed_on == 2);
  CHECK(fixture.configuration.snapshot().Since(store_position{store_era(1), 5}));
  fixture.clock.Advance(milliseconds(300));
  fixture.configuration.OnControllerView(ViewOf(fixture, 6));
  CHECK(fixture.state.keys_confirmed_at == fixture.clock.Now());
  fixture.clock.Advance(milliseconds(600));
  fixture.RunFor(milliseconds(300));
  CHECK(fixture.server.seen().size() == 1);
}

TEST_CASE("records that are not passed on in time are read from the store", "[entry]") {
  configuration_fixture fixture;
  fixture.has_parent = true;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  fixture.configuration.OnControllerView(ViewOf(fixture, 6));
  REQUIRE(RunUntil(fixture.context, [&] { return !fixture.requests.empty(); }));
  CHECK(fixture.server.seen().size() == 1);
  fixture.server.Add(InEra(1, Page(6, 6)));
  fixture.clock.Advance(milliseconds(600));
  CHECK(fixture.RunUntilVersion(6));
}

// Guards against records that are skipped, taken twice or from before a restore of the store.
TEST_CASE("only records that lead on in the known era are taken from another VM", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  fixture.configuration.OnUpdate(UpdateOf(6, 8, 8));
  CHECK(fixture.state.configuration->version == 5);
  fixture.configuration.OnUpdate(UpdateOf(3, 5, 9));
  CHECK(fixture.state.configuration->version == 5);
  auto of_other_era = UpdateOf(std::nullopt, 9, 9);
  of_other_era.next.era = store_era(2);
  fixture.configuration.OnUpdate(of_other_era);
  CHECK(fixture.state.configuration->version == 5);
  fixture.configuration.OnUpdate(UpdateOf(std::nullopt, 9, 9));
  CHECK(fixture.state.configuration->version == 9);
  CHECK(fixture.configuration.View().next.offset == 9);
}

// Guards against an evacuation that ends because the copy from which the store was restored lacks
// its record: a VM that knew of the restore by another call took all records from its parent.
TEST_CASE("records of an era that a VM has not read itself are not taken", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5, true)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  fixture.server.Add(InEra(2, BigEndian(0, 8) + BigEndian(0, 8)));
  REQUIRE(RunAwaitable(fixture.context,
                       fixture.store.ReadFrom(store_stream::kStalls, 0, milliseconds(0))));
  REQUIRE(fixture.store.era() == store_era(2));
  auto update = UpdateOf(std::nullopt, 4, 5);
  update.next.era = store_era(2);
  fixture.configuration.OnUpdate(update);
  CHECK(fixture.state.directory.IsEvacuated(failure_domain_id("ifo")));
  CHECK(fixture.configuration.View().next.era == store_era(1));
}

// Guards against an older place after newer records were passed on during a read.
TEST_CASE("a read that ends after newer records were passed on changes nothing", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  const std::string page = Page(6, 6);
  scripted_http_server::step slow;
  slow.slow_parts = {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n",
                     "Content-Length: " + std::to_string(page.size()) + "\r\n\r\n" + page};
  slow.part_pause = milliseconds(100);
  fixture.server.Add(slow);
  fixture.clock.Advance(std::chrono::seconds(3));
  REQUIRE(fixture.RunUntilSeen(2));
  fixture.configuration.OnUpdate(UpdateOf(5, 7, 7));
  fixture.RunFor(milliseconds(300));
  CHECK(fixture.state.configuration->version == 7);
  CHECK(fixture.configuration.View().next.offset == 7);
}

// Guards against a VM that reads without a pause while reads of the store are older than feeds.
TEST_CASE("a VM does not read again and again while its reads lack the newest record", "[entry]") {
  configuration_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, 5)));
  fixture.Start();
  REQUIRE(fixture.RunUntilVersion(5));
  for (int i = 0; i < 20; ++i) fixture.server.Add(InEra(1, BigEndian(5, 8) + BigEndian(0, 8)));
  fixture.configuration.OnControllerView(ViewOf(fixture, 6));
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.server.seen().size() == 2);
}

}  // namespace
}  // namespace waxwingwing
