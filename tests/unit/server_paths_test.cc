#include "waxwingwing/dispatch/server_paths.h"

#include <catch2/catch.hpp>

namespace waxwingwing {
namespace {

using state = server_paths::state;

time_point At(int ms) { return time_point(std::chrono::hours(1)) + milliseconds(ms); }

/// Paths that two rounds of probes have shown to be lost, the second of which ended at 600 ms.
server_paths LostPaths() {
  server_paths paths;
  paths.RecordFailure(At(0));
  paths.RecordRound(false, At(0), At(300));
  paths.RecordRound(false, At(300), At(600));
  return paths;
}

TEST_CASE("paths are lost when no server answers in two rounds of probes", "[dispatch]") {
  server_paths paths;
  paths.RecordContact(At(0));
  paths.RecordFailure(At(500));
  CHECK(paths.current() == state::kInDoubt);
  paths.RecordRound(false, At(500), At(800));
  CHECK(paths.current() == state::kInDoubt);
  CHECK(*paths.NextRoundAt() <= At(800));
  paths.RecordRound(false, At(800), At(1100));
  CHECK(paths.IsLost());
  CHECK(*paths.NextRoundAt() > At(1100));
}

// Guards against a VM that takes the failure of some servers for the loss of its paths.
TEST_CASE("one answer of any server shows that the paths are there", "[dispatch]") {
  server_paths paths;
  SECTION("shortly before a failure") {
    paths.RecordContact(At(0));
    paths.RecordFailure(At(100));
  }
  SECTION("during a round") {
    paths.RecordFailure(At(0));
    paths.RecordRound(false, At(0), At(300));
    paths.RecordContact(At(400));
    paths.RecordRound(false, At(300), At(600));
  }
  SECTION("to a probe") {
    paths.RecordFailure(At(0));
    paths.RecordRound(true, At(0), At(10));
  }
  CHECK(paths.current() == state::kConnected);
  CHECK(!paths.NextRoundAt());
}

TEST_CASE("paths are in doubt when requests wait and no server sends a byte", "[dispatch]") {
  server_paths paths;
  paths.RecordContact(At(0));
  paths.RecordWait(3, At(100), At(399));
  CHECK(paths.current() == state::kConnected);
  paths.RecordWait(3, At(100), At(400));
  CHECK(paths.current() == state::kInDoubt);
}

// Guards against probes by each VM of a large deployment, which has one or two requests at a time,
// whenever a prompt takes long.
TEST_CASE("a wait for one server raises a doubt later than waits for several", "[dispatch]") {
  server_paths paths;
  paths.RecordWait(2, At(0), At(999));
  CHECK(paths.current() == state::kConnected);
  paths.RecordWait(2, At(0), At(1000));
  CHECK(paths.current() == state::kInDoubt);
}

// Guards against probes without end from a VM whose only request is slow.
TEST_CASE("silence that a probe has explained raises no doubt for a while", "[dispatch]") {
  server_paths paths;
  paths.RecordWait(3, At(0), At(300));
  paths.RecordRound(true, At(300), At(310));
  paths.RecordWait(3, At(0), At(3300));
  CHECK(paths.current() == state::kConnected);
  paths.RecordWait(3, At(0), At(3310));
  CHECK(paths.current() == state::kInDoubt);
}

// Guards against requests that are sent to servers while the paths come and go.
TEST_CASE("paths are back after two rounds with an answer", "[dispatch]") {
  server_paths paths = LostPaths();
  REQUIRE(paths.IsLost());
  paths.RecordContact(At(700));
  CHECK(paths.IsLost());
  paths.RecordRound(true, At(850), At(860));
  paths.RecordRound(false, At(1100), At(1400));
  paths.RecordRound(true, At(1700), At(1710));
  CHECK(paths.IsLost());
  paths.RecordRound(true, At(1950), At(1960));
  CHECK(paths.current() == state::kConnected);
}

}  // namespace
}  // namespace waxwingwing
