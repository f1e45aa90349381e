#include "entry/operators_transfer.h"

#include <catch2/catch.hpp>
#include <string>

#include "entry/operators_snapshot.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

constexpr store_era kEra(3);

store_position Place(std::uint64_t offset) { return {kEra, offset}; }

operators_snapshot SnapshotAt(std::uint64_t next) {
  operators_snapshot snapshot;
  snapshot.Replace({{"config", "v1"}, {"evacuate/ifo", "{}"}}, Place(next));
  return snapshot;
}

TEST_CASE("a VM that knows no records gets all of them", "[entry]") {
  operators_snapshot snapshot = SnapshotAt(10);
  snapshot.Add({{"evacuate/ifo", std::nullopt}, {"config", "v2"}}, Place(12));
  const auto update = snapshot.Since(std::nullopt);
  REQUIRE(update);
  CHECK(!update->from);
  CHECK(update->next == Place(12));
  REQUIRE(update->records.size() == 1);
  CHECK(update->records[0].value == "v2");
}

TEST_CASE("a VM gets the newest record of each key that changed since its place", "[entry]") {
  operators_snapshot snapshot = SnapshotAt(10);
  snapshot.Add({{"config", "v2"}}, Place(11));
  snapshot.Add({{"config", "v3"}, {"evacuate/ifo", std::nullopt}}, Place(13));
  const auto update = snapshot.Since(Place(11));
  REQUIRE(update);
  CHECK(update->from == Place(11));
  REQUIRE(update->records.size() == 2);
  CHECK(update->records[0].value == "v3");
  CHECK(!update->records[1].value);
  CHECK(!snapshot.Since(Place(13)));
}

// Guards against an evacuation that never ends: the removal of a key before the list is not known.
TEST_CASE("a VM that knows less than the last list gets all records", "[entry]") {
  operators_snapshot snapshot = SnapshotAt(10);
  CHECK(!snapshot.Since(Place(9))->from);
  CHECK(!snapshot.Since(store_position{store_era(2), 99})->from);
  snapshot.Clear();
  CHECK(!snapshot.Since(Place(9)));
}

/// An update with a value of `bytes` that cannot be compressed.
operators_update LargeUpdate(std::size_t bytes) {
  random_source random(7);
  std::string value;
  while (value.size() < bytes) value += static_cast<char>(random.Below(256));
  return {Place(10), Place(12), {{"config", value}, {"gone", std::nullopt}, {"empty", ""}}};
}

TEST_CASE("an update arrives as it was sent, in several parts", "[entry]") {
  const operators_update sent = LargeUpdate(200'000);
  const auto messages = ToMessages(sent);
  REQUIRE(messages);
  CHECK(messages->size() > 2);
  operators_assembly assembly;
  std::optional<result<operators_update>> received;
  for (const auto& message : *messages) {
    CHECK(!received);
    CHECK(InvalidMessageReason(message).empty());
    received = assembly.Add(message);
  }
  REQUIRE(received);
  REQUIRE(*received);
  CHECK((*received)->from == sent.from);
  CHECK((*received)->next == sent.next);
  REQUIRE((*received)->records.size() == 3);
  CHECK((*received)->records[0].value == sent.records[0].value);
  CHECK(!(*received)->records[1].value);
  CHECK((*received)->records[2].value == "");
}

TEST_CASE("an update whose parts are missing, mixed or altered is not taken", "[entry]") {
  const auto messages = ToMessages(LargeUpdate(200'000));
  REQUIRE(messages);
  operators_assembly assembly;
  CHECK(!assembly.Add((*messages)[1]));
  CHECK(!assembly.Add((*messages)[0]));
  CHECK(!assembly.Add((*messages)[2]));
  CHECK(!assembly.Add((*messages)[1]));
  auto altered = ToMessages({Place(1), Place(2), {{"config", "v1"}}});
  REQUIRE(altered);
  auto& message = altered->front();
  SECTION("checksum") { message.checksum ^= 1; }
  SECTION("size") { ++message.unpacked_bytes; }
  SECTION("bytes") { message.bytes.pop_back(); }
  const auto received = assembly.Add(message);
  REQUIRE(received);
  CHECK(!*received);
}

TEST_CASE("an update that no VM could take is not sent", "[entry]") {
  CHECK(!ToMessages(LargeUpdate(std::size_t{5} << 20U)));
}

}  // namespace
}  // namespace waxwingwing
