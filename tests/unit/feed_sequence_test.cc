#include "entry/feed_sequence.h"

#include <catch2/catch.hpp>

namespace waxwingwing {
namespace {

store_position Place(std::uint64_t offset, std::uint64_t era = 1) {
  return {store_era(era), offset};
}

registration_read Read(std::uint64_t from, std::uint64_t next,
                       read_coverage coverage = read_coverage::kRecords) {
  return {coverage, Place(from), Place(next), {}, {}};
}

registration_read WithChange(registration_read read) {
  read.changes.push_back({"s", std::nullopt});
  return read;
}

TEST_CASE("a feed covers the reads since the last one that changed nothing", "[entry]") {
  feed_sequence feeds;
  CHECK(!feeds.Covers(Read(3, 4)));
  CHECK(feeds.Next(Read(3, 4)).from == Place(3));
  CHECK(feeds.Covers(Read(4, 6)));
  CHECK(!feeds.Covers(WithChange(Read(6, 7))));
  const registration_read stated = feeds.Next(WithChange(Read(6, 7)));
  CHECK(stated.from == Place(4));
  CHECK(stated.changes.size() == 1);
  CHECK(feeds.place() == Place(7));
}

// Guards against followers that take a list whose differences are not known for what they have.
TEST_CASE("a read whose changes are not known begins at its own end", "[entry]") {
  feed_sequence feeds;
  feeds.Next(Read(3, 4));
  const auto unknown = Read(0, 9, read_coverage::kUnknown);
  CHECK(!feeds.Covers(unknown));
  const registration_read stated = feeds.Next(WithChange(unknown));
  CHECK(stated.from == Place(9));
  CHECK(stated.changes.empty());
}

TEST_CASE("a comparison is always sent, and leads on from the last feed", "[entry]") {
  feed_sequence feeds;
  feeds.Next(Read(3, 4));
  const auto comparison = Read(6, 9, read_coverage::kComparison);
  CHECK(!feeds.Covers(comparison));
  CHECK(feeds.Next(comparison).from == Place(4));
}

// Guards against servers that only the controller knows to have left: it read that while its role
// had lapsed for a moment, so that it sent no feed, and the next feed led on from the last one.
TEST_CASE("a feed does not cover changes that were read without the controller's role", "[entry]") {
  feed_sequence feeds;
  feeds.Next(Read(3, 4));
  feeds.RecordUnsent(Read(4, 5));
  CHECK(feeds.Covers(Read(5, 5)));
  const read_coverage coverage =
      GENERATE(read_coverage::kRecords, read_coverage::kComparison, read_coverage::kUnknown);
  feeds.RecordUnsent(WithChange(Read(5, 6, coverage)));
  CHECK(!feeds.Covers(Read(6, 6)));
  CHECK(feeds.Next(Read(6, 7)).from == Place(6));
  CHECK(feeds.Next(WithChange(Read(7, 8))).from == Place(7));
}

TEST_CASE("a feed of another era does not lead on from the last one", "[entry]") {
  feed_sequence feeds;
  feeds.Next(Read(3, 4));
  registration_read read = Read(0, 0);
  read.from = Place(5, 2);
  read.next = Place(6, 2);
  CHECK(feeds.Next(read).from == Place(5, 2));
}

}  // namespace
}  // namespace waxwingwing
