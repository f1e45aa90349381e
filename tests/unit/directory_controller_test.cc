#include "entry/directory_controller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"

namespace waxwingwing {
namespace {

std::string BigEndian(std::uint64_t number, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text += static_cast<char>(number >> (8 * (i - 1)) & 0xffU);
  }
  return text;
}

/// A page of the store that ends at `end` with one registration.
std::string Page(std::uint64_t end, const std::string& id) {
  const std::string record =
      static_cast<char>(id.size()) + id +
      R"({"service":"desk","addr":"10.0.0.1:80","zone":"ifo","version":"v1","slots":4,)"
      R"("state":"ready","cold_left_ms":0,"born":1,"seq":1})";
  return BigEndian(end, 8) + BigEndian(0, 8) + BigEndian(record.size(), 4) + record;
}

std::string Empty(std::uint64_t end) { return BigEndian(end, 8) + BigEndian(0, 8); }

/// An answer of the store in one of its eras.
scripted_http_server::step InEra(int era, std::string body) {
  scripted_http_server::step answer;
  answer.body = std::move(body);
  answer.headers = {{"Store-Era", std::to_string(era)}};
  return answer;
}

struct directory_fixture {
  directory_controller::hooks Hooks() {
    directory_controller::hooks hooks;
    hooks.sends_orders = [this] { return reads_itself; };
    hooks.is_feed_current = [this] { return !reads_itself; };
    hooks.on_read = [](store_position, std::uint64_t, const std::vector<registration_message>&,
                       time_point) {};
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
  directory_controller directory{entry, store, Hooks()};
};

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

}  // namespace
}  // namespace waxwingwing
