#include "entry/directory_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/unit/big_endian.h"
#include "tests/unit/encode_base64.h"
#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"

namespace waxwingwing {
namespace {

std::string Registration(const std::string& state = "ready") {
  return R"({"service":"desk","addr":"10.0.0.1:80","zone":"ifo","version":"v1","slots":4,"state":")" +
         state + R"(","cold_left_ms":0,"born":1,"seq":1})";
}

/// A page of the store that ends at `end` with one registration.
std::string Page(std::uint64_t end, const std::string& id) {
  const std::string record = static_cast<char>(id.size()) + id + Registration();
  return BigEndian(end, 8) + BigEndian(0, 8) + BigEndian(record.size(), 4) + record;
}

/// A page of the store that ends at `end` with one removal.
std::string Removal(std::uint64_t end, const std::string& id) {
  const std::string record = static_cast<char>(id.size()) + id;
  return BigEndian(end, 8) + BigEndian(0, 8) + BigEndian(record.size(), 4) + record;
}

std::string Empty(std::uint64_t end) { return BigEndian(end, 8) + BigEndian(0, 8); }

/// An answer of the store in one of its eras.
scripted_http_server::step InEra(int era, std::string body, std::uint32_t status = 200) {
  scripted_http_server::step answer;
  answer.status = status;
  answer.body = std::move(body);
  answer.headers = {{"Store-Era", std::to_string(era)}};
  return answer;
}

struct directory_fixture {
  directory_controller::hooks Hooks() {
    directory_controller::hooks hooks;
    hooks.sends_orders = [this] { return reads_itself; };
    hooks.is_feed_current = [this] { return !reads_itself; };
    hooks.on_read = [this](const registration_read& read) { reads.push_back(read); };
    hooks.on_change = [] {};
    return hooks;
  }
  void Start() { boost::asio::co_spawn(context, directory.Run(), boost::asio::detached); }
  bool RunUntilSeen(std::size_t requests) {
    return RunUntil(context, [&] { return server.seen().size() >= requests; });
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
  bool reads_itself = true;
  std::vector<registration_read> reads;
  directory_controller directory{entry, store, Hooks()};
};

/// The newest registrations: of each id its value. Others follow if `has_more`.
std::string Newest(std::uint64_t end, const std::map<std::string, std::string>& registrations,
                   bool has_more = false) {
  std::string items;
  for (const auto& [id, value] : registrations) {
    items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + id + R"(","value":")" +
             EncodeBase64(value) + R"("})";
  }
  return R"({"end":)" + std::to_string(end) + R"(,"has_more":)" + (has_more ? "true" : "false") +
         R"(,"items":[)" + items + "]}";
}

bool Contains(const registration_read& read, const std::string& id, bool has_value) {
  return std::any_of(read.changes.begin(), read.changes.end(), [&](const auto& change) {
    return change.key == id && change.value.has_value() == has_value;
  });
}

constexpr const char* kNewest = R"({"end":5,"has_more":false,"items":[]})";

// Guards against servers that are never found: after a restore of the store more was written again
// than had been lost, so that a VM that reads on at its offset skips records.
TEST_CASE("all registrations are read when the store states a new era", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, kNewest));
  fixture.server.Add(InEra(2, Page(6, "a")));
  fixture.server.Add(InEra(2, R"({"end":6,"has_more":false,"items":[]})"));
  fixture.Start();
  REQUIRE(fixture.RunUntilSeen(3));
  CHECK(fixture.server.seen()[2].target.starts_with("/v1/log-newest"));
}

// Guards against changes that are dropped because the store gives out lower offsets after a
// restore, and against those that join on only by their number.
TEST_CASE("a feed of a later era makes a VM read, and one of an earlier era changes nothing",
          "[entry]") {
  directory_fixture fixture;
  fixture.reads_itself = false;
  fixture.server.Add(InEra(2, kNewest));
  fixture.Start();
  REQUIRE(fixture.RunUntilSeen(1));
  REQUIRE(
      RunUntil(fixture.context, [&] { return fixture.state.directory_confirmed_at.has_value(); }));
  const time_point confirmed_at = *fixture.state.directory_confirmed_at;
  fixture.clock.Advance(std::chrono::seconds(1));
  directory_feed_message feed;
  feed.from = feed.next = 5;
  SECTION("earlier") {
    feed.era = 1;
    fixture.directory.OnFeed(feed);
    CHECK(*fixture.state.directory_confirmed_at == confirmed_at);
  }
  SECTION("the same") {
    feed.era = 2;
    fixture.directory.OnFeed(feed);
    CHECK(*fixture.state.directory_confirmed_at > confirmed_at);
  }
  SECTION("later, with a lower offset") {
    feed.era = 3;
    feed.from = feed.next = 2;
    fixture.server.Add(InEra(3, Empty(2)));
    fixture.server.Add(InEra(3, R"({"end":2,"has_more":false,"items":[]})"));
    fixture.directory.OnFeed(feed);
    CHECK(fixture.RunUntilSeen(3));
  }
}

// Guards against requests to servers that have left, and against new servers and groups that only
// the controller knows: the store deletes records before the controller has read them.
TEST_CASE("the controller passes on what has changed while records were deleted", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, {{"leaving", Registration()},
                                         {"removed", Registration()},
                                         {"same", Registration()}})));
  fixture.server.Add(InEra(1, R"({"first":9})", 410));
  fixture.server.Add(InEra(1, Newest(9, {{"leaving", Registration("draining")},
                                         {"new", Registration()},
                                         {"same", Registration()}})));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 2; }));
  const registration_read& read = fixture.reads[1];
  CHECK(read.next == store_position{store_era(1), 9});
  CHECK(read.coverage == read_coverage::kComparison);
  CHECK(read.from == store_position{store_era(1), 5});
  CHECK(read.changes.size() == 3);
  CHECK(Contains(read, "leaving", true));
  CHECK(Contains(read, "new", true));
  CHECK(Contains(read, "removed", false));
}

// Guards against changes that are lost since the first list after a deletion could not be read.
TEST_CASE("a list that is read at the second attempt is compared with the same place", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, {{"removed", Registration()}})));
  fixture.server.Add(InEra(1, R"({"first":9})", 410));
  fixture.server.Add(InEra(1, "{}", 503));
  fixture.server.Add(InEra(1, Newest(9, {})));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 2; }));
  CHECK(fixture.reads[1].from == store_position{store_era(1), 5});
  CHECK(Contains(fixture.reads[1], "removed", false));
}

TEST_CASE("a first list, and one of another era, is not compared with an earlier place",
          "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, {{"a", Registration()}})));
  fixture.server.Add(InEra(2, R"({"first":9})", 410));
  fixture.server.Add(InEra(2, Newest(9, {})));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 2; }));
  for (const registration_read& read : fixture.reads) {
    CHECK(read.coverage == read_coverage::kUnknown);
  }
}

// Guards against servers that a VM never finds again: it had read their removal itself, and the
// comparison of the lists before and after a deletion does not show that they are back.
TEST_CASE("a VM that has read records in between does not join on to a comparison", "[entry]") {
  directory_fixture fixture;
  fixture.reads_itself = false;
  fixture.server.Add(InEra(1, kNewest));
  fixture.Start();
  REQUIRE(
      RunUntil(fixture.context, [&] { return fixture.state.directory_confirmed_at.has_value(); }));
  directory_feed_message feed;
  feed.era = 1;
  feed.next = 9;
  feed.is_comparison = true;
  feed.changes = PackChanges({{"a", Registration()}});
  SECTION("from the VM's place") {
    feed.from = 5;
    fixture.directory.OnFeed(feed);
    CHECK(fixture.state.directory.Find(backend_server_id("a")) != nullptr);
  }
  SECTION("from an earlier place") {
    feed.from = 4;
    fixture.server.Add(InEra(1, R"({"first":9})", 410));
    fixture.server.Add(InEra(1, Newest(9, {{"b", Registration()}})));
    fixture.directory.OnFeed(feed);
    CHECK(fixture.state.directory.Find(backend_server_id("a")) == nullptr);
    CHECK(RunUntil(fixture.context, [&] {
      return fixture.state.directory.Find(backend_server_id("b")) != nullptr;
    }));
  }
}

// Guards against VMs that never start because the store refuses one page of the list.
TEST_CASE("a VM starts with a part of the list and follows the records", "[entry]") {
  directory_fixture fixture;
  fixture.reads_itself = false;
  for (int attempt = 0; attempt < 3; ++attempt) {
    fixture.server.Add(InEra(1, Newest(5, {{"a", Registration()}}, true)));
    fixture.server.Add(InEra(1, "{}", 503));
  }
  fixture.server.Add(InEra(1, Page(6, "z")));
  fixture.Start();
  const auto knows = [&](const char* id) {
    return fixture.state.directory.Find(backend_server_id(id)) != nullptr;
  };
  REQUIRE(RunUntil(fixture.context, [&] { return knows("z"); }));
  CHECK(knows("a"));
  CHECK(fixture.server.seen()[6].target.starts_with("/v1/log-read"));
  CHECK(fixture.reads[0].coverage == read_coverage::kUnknown);
  // The other VMs know the servers of the missing page, so that feeds do not name them.
  directory_feed_message feed;
  feed.era = 1;
  feed.from = 5;
  feed.next = 9;
  fixture.directory.OnFeed(feed);
  fixture.server.Add(InEra(1, Page(7, "y")));
  CHECK(RunUntil(fixture.context, [&] { return knows("y"); }));
  CHECK(fixture.server.seen()[7].target.find("from=6") != std::string::npos);
}

// Guards against the removal of running servers that are on a page which the store has refused.
TEST_CASE("servers on a missing page are removed only when they do not register again", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(
      1, Newest(5, {{"a", Registration()}, {"gone", Registration()}, {"z", Registration()}})));
  fixture.server.Add(InEra(1, R"({"first":9})", 410));
  for (int attempt = 0; attempt < 3; ++attempt) {
    fixture.server.Add(InEra(1, Newest(9, {{"a", Registration()}}, true)));
    fixture.server.Add(InEra(1, "{}", 503));
  }
  fixture.server.Add(InEra(1, Page(10, "z")));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 3; }));
  const auto knows = [&](const char* id) {
    return fixture.state.directory.Find(backend_server_id(id)) != nullptr;
  };
  CHECK(knows("z"));
  CHECK(knows("gone"));
  fixture.clock.Advance(std::chrono::seconds(3));
  fixture.server.Add(InEra(1, Empty(10)));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 4; }));
  CHECK(knows("z"));
  CHECK(!knows("gone"));
}

// Guards against changes that only the controller knows: it found them on a later page of a list,
// so that their records, which it reads afterwards, change nothing.
TEST_CASE("records that a list may already show are passed on as changes", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, {{"a", Registration()}}, true)));
  fixture.server.Add(InEra(1, Newest(6, {{"b", Registration()}})));
  fixture.server.Add(InEra(1, Page(6, "b")));
  fixture.server.Add(InEra(1, Page(7, "b")));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 3; }));
  CHECK(Contains(fixture.reads[1], "b", true));
  CHECK(fixture.reads[2].changes.empty());
}

// Guards against servers that go on getting requests after they have announced their leaving: the
// announcement was among the records that the page lacked, and the registrations counted as read.
TEST_CASE("a page that holds only a part of the records confirms nothing and is read on at once",
          "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, {{"a", Registration()}})));
  fixture.server.Add(InEra(1, Page(8, "b")));
  fixture.server.Add(InEra(1, Removal(7, "a")));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return !fixture.reads.empty(); }));
  const auto confirmed = fixture.state.directory_confirmed_at;
  REQUIRE(confirmed);
  fixture.clock.Advance(milliseconds(1000));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 2; }));
  CHECK(fixture.state.directory_confirmed_at == confirmed);
  CHECK(fixture.reads[1].sent_at == *confirmed);
  // Feeds of the controller do not replace the read.
  fixture.reads_itself = false;
  CHECK(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 3; }));
  CHECK(fixture.state.directory_confirmed_at == fixture.clock.Now());
}

// Guards against the same where the page lacked all records, and against asking a store that goes
// on like that without pause.
TEST_CASE("a page without the records before its end is a failed read", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, {{"a", Registration()}})));
  fixture.server.Add(InEra(1, Empty(8)));
  fixture.server.Add(InEra(1, Page(6, "b")));
  fixture.Start();
  REQUIRE(RunUntil(fixture.context, [&] { return !fixture.reads.empty(); }));
  const auto confirmed = fixture.state.directory_confirmed_at;
  fixture.clock.Advance(milliseconds(1000));
  REQUIRE(fixture.RunUntilSeen(3));
  CHECK(fixture.reads.size() == 1);
  CHECK(fixture.state.directory_confirmed_at == confirmed);
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 2; }));
  CHECK(Contains(fixture.reads[1], "b", true));
}

// Guards against servers that a VM loses for good: a read of its own that was under way when a feed
// arrived showed only a removal, after which the server had registered again.
TEST_CASE("a read that a feed has overtaken changes nothing", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, Newest(5, {{"a", Registration()}})));
  fixture.server.Add(InEra(1, Removal(6, "a")));
  fixture.Start();
  REQUIRE(fixture.RunUntilSeen(2));
  REQUIRE(fixture.reads.size() == 1);
  directory_feed_message feed;
  feed.era = 1;
  feed.from = 5;
  feed.next = 8;
  feed.changes = PackChanges({{"a", Registration()}});
  fixture.directory.OnFeed(feed);
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.reads.size() >= 2; }));
  CHECK(fixture.state.directory.Find(backend_server_id("a")) != nullptr);
  CHECK(fixture.reads[1].from == store_position{store_era(1), 8});
  CHECK(fixture.reads[1].next == store_position{store_era(1), 8});
}

// Guards against the removal of servers that have registered since a list was sent: a feed that
// arrives while the list is read names them, and the list does not.
TEST_CASE("no feed is applied while a list is read", "[entry]") {
  directory_fixture fixture;
  fixture.server.Add(InEra(1, kNewest));
  fixture.server.Add(InEra(1, R"({"first":9})", 410));
  fixture.server.Add(InEra(1, Newest(9, {})));
  fixture.Start();
  REQUIRE(fixture.RunUntilSeen(3));
  directory_feed_message feed;
  feed.era = 1;
  feed.from = 5;
  feed.next = 11;
  feed.is_comparison = true;
  feed.changes = PackChanges({{"new", Registration()}});
  fixture.directory.OnFeed(feed);
  CHECK(fixture.state.directory.Find(backend_server_id("new")) == nullptr);
  // It is found among the records after the list.
  fixture.server.Add(InEra(1, Page(10, "new")));
  CHECK(RunUntil(fixture.context, [&] {
    return fixture.state.directory.Find(backend_server_id("new")) != nullptr;
  }));
}

}  // namespace
}  // namespace waxwingwing
