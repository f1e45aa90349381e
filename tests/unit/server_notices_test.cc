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
  CHECK_FALSE(notices.Record(kServer, 7, kNothing, kStart).leaving);
  CHECK(notices.Record(kServer, 7, Leaving(), kStart).leaving);
  CHECK_FALSE(notices.Record(kServer, 7, Leaving(), kStart).leaving);
  notices.Record(kServer, 7, kNothing, kStart + seconds(1));
  notices.Prune(none, kStart + seconds(60));
  CHECK(notices.IsLeaving(kServer, 7));
  CHECK_FALSE(notices.IsLeaving(kServer, 8));
  CHECK_FALSE(notices.IsLeaving(backend_server_id("s2"), 7));
  notices.Record(kServer, 8, kNothing, kStart + seconds(61));
  // A late answer of the earlier incarnation.
  notices.Record(kServer, 7, Leaving(), kStart + seconds(62));
  CHECK_FALSE(notices.IsLeaving(kServer, 8));
  notices.Record(kServer, 9, Leaving(), kStart + seconds(63));
  notices.Prune(none, kStart + seconds(3600));
  CHECK_FALSE(notices.IsLeaving(kServer, 9));
}

TEST_CASE("notices of more servers than are kept replace the oldest ones", "[notices]") {
  server_notice_options options;
  options.max_servers = 3;
  server_notices notices(options);
  for (int i = 0; i < 5; ++i) {
    notices.Record(backend_server_id("s" + std::to_string(i)), 1, Leaving(), kStart + seconds(i));
  }
  notices.Prune([](const backend_server_id&) { return true; }, kStart + seconds(5));
  CHECK_FALSE(notices.IsLeaving(backend_server_id("s1"), 1));
  CHECK(notices.IsLeaving(backend_server_id("s2"), 1));
}

}  // namespace
}  // namespace waxwingwing
