#include "entry/stall_notice_channel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/unit/big_endian.h"
#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"

namespace waxwingwing {
namespace {

/// A page of the store that ends at `end` with these notices.
std::string Page(std::uint64_t end, const std::vector<std::string>& groups) {
  std::string page = BigEndian(end, 8) + BigEndian(0, 8);
  for (const std::string& group : groups) page += BigEndian(group.size(), 4) + group;
  return page;
}

/// The channel of the controller.
struct channel_fixture {
  bool RunUntilSeen(std::size_t requests) {
    boost::asio::co_spawn(context, channel.Run(), boost::asio::detached);
    return RunUntil(context, [&] { return server.seen().size() >= requests; });
  }
  /// Offset from which a request reads.
  std::string From(std::size_t request) const {
    const std::string& target = server.seen()[request].target;
    const std::size_t begin = target.find("from=") + 5;
    return target.substr(begin, target.find('&', begin) - begin);
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
  std::vector<std::string> stalled;
  stall_notice_channel channel{
      entry, store, [] { return true; },
      [this](const server_group_id& group) { stalled.push_back(group.str()); }};
};

// Guards against controllers that never read a notice: the first one was deleted, and they asked
// for it again and again.
TEST_CASE("a new controller reads stall notices although the first ones were deleted", "[entry]") {
  channel_fixture fixture;
  fixture.server.Add({410, R"({"first":7})"});
  fixture.server.Add({200, Page(9, {"old", "older"})});
  fixture.server.Add({200, Page(10, {"g"})});
  fixture.server.Add({200, Page(10, {})});
  REQUIRE(fixture.RunUntilSeen(4));
  CHECK(fixture.From(1) == "7");
  CHECK(fixture.From(2) == "9");
  // Notices from before this VM became the controller are out of date.
  CHECK(fixture.stalled == std::vector<std::string>{"g"});
}

// Guards against notices that are lost because others were deleted before them.
TEST_CASE("stall notices that are left after a deletion are read", "[entry]") {
  channel_fixture fixture;
  fixture.server.Add({200, Page(5, {})});
  fixture.server.Add({410, R"({"first":7})"});
  fixture.server.Add({200, Page(8, {"g"})});
  fixture.server.Add({200, Page(8, {})});
  REQUIRE(fixture.RunUntilSeen(4));
  CHECK(fixture.From(1) == "5");
  CHECK(fixture.From(2) == "7");
  CHECK(fixture.stalled == std::vector<std::string>{"g"});
}

// Guards against a loop of reads: the store says neither that records are left nor where.
TEST_CASE("after a deletion whose extent is not known, stall notices are read from the end",
          "[entry]") {
  channel_fixture fixture;
  const std::string extent = GENERATE("{}", "x", R"({"first":3})", R"({"first":"7"})");
  fixture.server.Add({200, Page(5, {})});
  fixture.server.Add({410, extent});
  fixture.server.Add({200, Page(8, {"old"})});
  fixture.server.Add({200, Page(9, {"g"})});
  fixture.server.Add({200, Page(9, {})});
  REQUIRE(fixture.RunUntilSeen(5));
  CHECK(fixture.From(3) == "8");
  CHECK(fixture.stalled == std::vector<std::string>{"g"});
}

}  // namespace
}  // namespace waxwingwing
