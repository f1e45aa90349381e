#include <catch2/catch.hpp>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/hash.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/scope_guard.h"
#include "waxwingwing/core/snapshot_cell.h"

namespace waxwingwing {
namespace {

TEST_CASE("a manual clock moves only when it is advanced", "[core]") {
  manual_clock clock;
  const time_point start = clock.Now();
  REQUIRE(clock.Now() == start);
  clock.Advance(milliseconds(5));
  REQUIRE(clock.Now() - start == milliseconds(5));
}

TEST_CASE("a failed result keeps its reason", "[core]") {
  const auto failed = result<int>::Failure("no port");
  REQUIRE_FALSE(failed);
  REQUIRE(failed.reason() == "no port");
}

TEST_CASE("a snapshot reader sees a published value and keeps the one it holds", "[core]") {
  snapshot_cell<int> cell(std::make_shared<const int>(1));
  snapshot_reader<int> reader(cell);
  const auto held = reader.Get();
  cell.Publish(std::make_shared<const int>(2));
  REQUIRE(*held == 1);
  REQUIRE(*reader.Get() == 2);
}

TEST_CASE("findings are reported together, each with its place in the input", "[core]") {
  finding_list findings;
  findings.Add("$.add", "must be an object");
  findings.Add("$.note_id", "is missing");
  REQUIRE(findings.ToText() == "$.add: must be an object\n$.note_id: is missing\n");
}

TEST_CASE("hash values are the same in every release", "[core]") {
  // Guards against a change of the hash function, which would move keys between nodes during a
  // rolling update.
  REQUIRE(StableHash("waxwingwing") == StableHash("waxwingwing", 0));
  REQUIRE(RendezvousWeight("a", "k") != RendezvousWeight("b", "k"));
}

TEST_CASE("generators with the same seed give the same numbers", "[core]") {
  random_source first(7);
  random_source second(7);
  REQUIRE(first.HexId() == second.HexId());
  REQUIRE(first.Below(10) < 10);
}

TEST_CASE("a dismissed scope guard does nothing", "[core]") {
  int calls = 0;
  {
    scope_guard guard([&] { ++calls; });
    scope_guard dismissed([&] { ++calls; });
    dismissed.Dismiss();
  }
  REQUIRE(calls == 1);
}

}  // namespace
}  // namespace waxwingwing
