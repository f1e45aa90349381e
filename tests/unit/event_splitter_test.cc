#include "waxwingwing/streaming/event_splitter.h"

#include <catch2/catch.hpp>

namespace waxwingwing {
namespace {

using verdict = event_splitter::verdict;

std::string Event(int id, const std::string& data = "x") {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

TEST_CASE("whole events are unchanged wherever their bytes are cut", "[streaming]") {
  const std::string text = Event(1) + "weight-versions: 3\nid: 2\ndata: y\n\n" + Event(3);
  for (std::size_t size = 1; size <= text.size(); ++size) {
    event_splitter splitter(byte_count(4096));
    std::string events;
    for (std::size_t start = 0; start < text.size(); start += size) {
      REQUIRE(splitter.Feed(std::string_view(text).substr(start, size), events) == verdict::kOk);
    }
    CHECK(events == text);
    CHECK(splitter.last_id() == 3);
    CHECK(splitter.AtEventBoundary());
  }
}

TEST_CASE("nothing of an incomplete event is passed on", "[streaming]") {
  event_splitter splitter(byte_count(4096));
  std::string events;
  CHECK(splitter.Feed(Event(1) + "id: 2\ndata: ha", events) == verdict::kOk);
  CHECK(events == Event(1));
  CHECK(!splitter.AtEventBoundary());
}

TEST_CASE("a resumed stream drops repeated events and none is missing unnoticed", "[streaming]") {
  event_splitter splitter(byte_count(4096));
  splitter.ContinueAfter(2);
  std::string events;
  CHECK(splitter.Feed(Event(2) + Event(3), events) == verdict::kOk);
  CHECK(events == Event(3));
  CHECK(splitter.Feed(Event(5), events) == verdict::kOutOfOrder);
  CHECK(events == Event(3));
}

TEST_CASE("a stream with an event without a number or above the limit is rejected", "[streaming]") {
  std::string events;
  event_splitter unnumbered(byte_count(4096));
  CHECK(unnumbered.Feed("data: x\n\n", events) == verdict::kOutOfOrder);
  event_splitter bounded(byte_count(64));
  CHECK(bounded.Feed(std::string(100, 'x'), events) == verdict::kTooLarge);
  CHECK(events.empty());
}

}  // namespace
}  // namespace waxwingwing
