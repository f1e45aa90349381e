#include "waxwingwing/dispatch/server_notices.h"

#include <catch2/catch.hpp>
#include <string>

namespace waxwingwing {
namespace {

using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};
const backend_server_id kServer("s1");

const server_notice kNothing;

server_notice Leaving() {
  server_notice notice;
  notice.leaving = true;
  return notice;
}

// Guards against forgetting that a server leaves while its registration comes and goes, and against
// holding it against the server's next incarnation.
TEST_CASE("a server that leaves is known to leave until its next incarnation", "[notices]") {
  server_notices notices;
  const auto none = [](const backend_server_id&) { return false; };
  CHECK_FALSE(notices.Record(kServer, 7, kNothing, 0, kStart).leaving);
  CHECK(notices.Record(kServer, 7, Leaving(), 0, kStart).leaving);
  CHECK_FALSE(notices.Record(kServer, 7, Leaving(), 0, kStart).leaving);
  notices.Record(kServer, 7, kNothing, 0, kStart + seconds(1));
  notices.Prune(none, kStart + seconds(60));
  CHECK(notices.IsLeaving(kServer, 7));
  CHECK_FALSE(notices.IsLeaving(kServer, 8));
  CHECK_FALSE(notices.IsLeaving(backend_server_id("s2"), 7));
  notices.Record(kServer, 8, kNothing, 0, kStart + seconds(61));
  // A late answer of the earlier incarnation.
  notices.Record(kServer, 7, Leaving(), 0, kStart + seconds(62));
  CHECK_FALSE(notices.IsLeaving(kServer, 8));
  notices.Record(kServer, 9, Leaving(), 0, kStart + seconds(63));
  notices.Prune(none, kStart + seconds(3600));
  CHECK_FALSE(notices.IsLeaving(kServer, 9));
}

server_notice Rest(milliseconds rest) {
  server_notice notice;
  notice.rest = rest;
  return notice;
}

// Guards against requests to a server before the time is over for which it wants none, and against
// a server that shuts itself off for long by a faulty answer.
TEST_CASE("a server rests until the later of the times that it asks for", "[notices]") {
  server_notices notices;
  CHECK(notices.Record(kServer, 7, Rest(seconds(4)), 0, kStart).rests_until == kStart + seconds(4));
  CHECK_FALSE(notices.Record(kServer, 7, Rest(seconds(1)), 0, kStart).rests_until);
  CHECK(notices.RestsUntil(kServer, 7, kStart + milliseconds(3999)) == kStart + seconds(4));
  CHECK_FALSE(notices.RestsUntil(kServer, 7, kStart + seconds(4)));
  CHECK_FALSE(notices.RestsUntil(kServer, 8, kStart));
  notices.Record(kServer, 7, Rest(std::chrono::hours(9)), 0, kStart);
  CHECK_FALSE(notices.RestsUntil(kServer, 7, kStart + seconds(60)));
}

// Guards against all VMs returning to a server at the same moment.
TEST_CASE("the returns of VMs after a rest are spread", "[notices]") {
  const auto until = [](double spread) {
    server_notices notices;
    return *notices.Record(kServer, 1, Rest(seconds(2)), spread, kStart).rests_until;
  };
  CHECK(until(0) == kStart + seconds(2));
  CHECK(until(0.5) == kStart + milliseconds(2100));
  CHECK(until(1) == kStart + milliseconds(2200));
}

server_notice RateLimit(std::optional<double> rate) {
  server_notice notice;
  notice.rate_limit = rate;
  notice.states_rate_limit = true;
  return notice;
}

// Guards against keeping to a limit that a server no longer states, and against dropping one
// because of an answer that says nothing about it.
TEST_CASE("a server's rate limit applies until one of its answers states none", "[notices]") {
  server_notices notices;
  CHECK(notices.Record(kServer, 7, RateLimit(4.5), 0, kStart).rate_limit);
  CHECK_FALSE(notices.Record(kServer, 7, RateLimit(4.5), 0, kStart).rate_limit);
  CHECK_FALSE(notices.Record(kServer, 7, kNothing, 0, kStart + seconds(1)).rate_limit);
  CHECK(notices.RateLimit(kServer, 7, kStart + seconds(1)) == 4.5);
  CHECK_FALSE(notices.RateLimit(kServer, 8, kStart + seconds(1)));
  CHECK(notices.Record(kServer, 7, RateLimit(std::nullopt), 0, kStart + seconds(2)).rate_limit);
  CHECK_FALSE(notices.RateLimit(kServer, 7, kStart + seconds(2)));
  notices.Record(kServer, 7, RateLimit(4.5), 0, kStart + seconds(3));
  CHECK_FALSE(notices.RateLimit(kServer, 7, kStart + seconds(64)));
}

// Guards against VMs that send as much as they like to a server whose limit only others have seen,
// or that never hear of its end.
TEST_CASE("the latest statement of a server about its limit applies at all VMs", "[notices]") {
  server_notices first;
  server_notices second;
  first.Record(kServer, 7, RateLimit(4.5), 0, kStart);
  second.MergeRateLimits(first.RateLimits(kStart), kStart);
  CHECK(second.RateLimit(kServer, 7, kStart) == 4.5);
  first.Record(kServer, 7, RateLimit(std::nullopt), 0, kStart + seconds(1));
  first.MergeRateLimits(second.RateLimits(kStart + seconds(1)), kStart + seconds(1));
  CHECK_FALSE(first.RateLimit(kServer, 7, kStart + seconds(1)));
  second.MergeRateLimits(first.RateLimits(kStart + seconds(1)), kStart + seconds(1));
  CHECK_FALSE(second.RateLimit(kServer, 7, kStart + seconds(1)));
  server_notices unaware;
  unaware.MergeRateLimits(first.RateLimits(kStart + seconds(1)), kStart + seconds(1));
  CHECK(unaware.RateLimits(kStart + seconds(1)).empty());
}

TEST_CASE("notices of more servers than are kept replace the oldest ones", "[notices]") {
  server_notice_options options;
  options.max_servers = 3;
  server_notices notices(options);
  for (int i = 0; i < 5; ++i) {
    notices.Record(backend_server_id("s" + std::to_string(i)), 1, Leaving(), 0,
                   kStart + seconds(i));
  }
  notices.Prune([](const backend_server_id&) { return true; }, kStart + seconds(5));
  CHECK_FALSE(notices.IsLeaving(backend_server_id("s1"), 1));
  CHECK(notices.IsLeaving(backend_server_id("s2"), 1));
}

}  // namespace
}  // namespace waxwingwing
