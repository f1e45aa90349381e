#include "waxwingwing/streaming/event_parser.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

std::vector<server_event> ParseAll(std::string_view text, byte_count limit = byte_count(1024)) {
  event_parser parser(limit);
  std::vector<server_event> events;
  parser.Feed(text, events);
  return events;
}

TEST_CASE("an event ends with an empty line", "[streaming]") {
  const auto events = ParseAll("data: a\n\nevent: error\ndata:b\ndata: c\n\n");
  REQUIRE(events.size() == 2);
  REQUIRE(events[0] == server_event{"", "a"});
  REQUIRE(events[1] == server_event{"error", "b\nc"});
}

TEST_CASE("an event that is cut before its empty line is not emitted", "[streaming]") {
  // Guards against completing an answer on a `data: [DONE]` whose empty line has not arrived.
  REQUIRE(ParseAll("data: [DONE]").empty());
  REQUIRE(ParseAll("data: [DONE]\n").empty());
}

TEST_CASE("comments, other fields and all line endings are accepted", "[streaming]") {
  const auto events = ParseAll(": hello\r\nid: 1\r\ndata: a\r\n\r\ndata: b\r\rdata\n\n");
  REQUIRE(events.size() == 3);
  REQUIRE(events[0].data == "a");
  REQUIRE(events[1].data == "b");
  REQUIRE(events[2].data.empty());
}

TEST_CASE("a line feed after a CR LF pair is cut does not end another line", "[streaming]") {
  event_parser parser(byte_count(100));
  std::vector<server_event> events;
  REQUIRE(parser.Feed("data: a\r", events));
  REQUIRE(parser.Feed("\ndata: b\r\n\r", events));
  REQUIRE(parser.Feed("\n", events));
  REQUIRE(events.size() == 1);
  REQUIRE(events[0].data == "a\nb");
}

TEST_CASE("an event above the limit makes the parser fail permanently", "[streaming]") {
  event_parser parser(byte_count(16));
  std::vector<server_event> events;
  REQUIRE_FALSE(parser.Feed("data: 0123456789012345\n\n", events));
  REQUIRE(parser.failed());
  REQUIRE_FALSE(parser.Feed("data: a\n\n", events));
  REQUIRE(events.empty());
}

TEST_CASE("the limit applies to the sum of many lines without the end of an event", "[streaming]") {
  event_parser parser(byte_count(64));
  std::vector<server_event> events;
  bool fits = true;
  for (int i = 0; i < 100 && fits; ++i) fits = parser.Feed("data: 01234567\n", events);
  REQUIRE_FALSE(fits);
}

std::string RandomStream(random_source& random, std::vector<server_event>& expected) {
  static constexpr std::string_view kLineEnds[] = {"\n", "\r\n", "\r"};
  std::string text;
  const std::uint64_t count = random.Below(20);
  for (std::uint64_t i = 0; i < count; ++i) {
    const std::string_view end = kLineEnds[random.Below(3)];
    server_event event;
    if (random.Below(4) == 0) event.type = "t" + std::to_string(random.Below(10));
    if (!event.type.empty()) text += "event: " + event.type + std::string(end);
    const std::uint64_t lines = 1 + random.Below(3);
    for (std::uint64_t line = 0; line < lines; ++line) {
      const std::string content(random.Below(12), static_cast<char>('a' + random.Below(26)));
      if (line > 0) event.data += '\n';
      event.data += content;
      text += "data: " + content + std::string(end);
    }
    if (random.Below(5) == 0) text += ":comment" + std::string(end);
    text += end;
    expected.push_back(event);
  }
  return text;
}

TEST_CASE("events do not depend on where the bytes are cut", "[streaming][fuzz]") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    random_source random(seed);
    std::vector<server_event> expected;
    const std::string text = RandomStream(random, expected);
    event_parser parser(byte_count(256));
    std::vector<server_event> events;
    std::string_view rest = text;
    while (!rest.empty()) {
      const std::size_t size = 1 + random.Below(std::min<std::size_t>(rest.size(), 9));
      REQUIRE(parser.Feed(rest.substr(0, size), events));
      rest.remove_prefix(size);
    }
    REQUIRE(events == expected);
  }
}

TEST_CASE("random bytes never yield an event above the limit", "[streaming][fuzz]") {
  static constexpr std::string_view kAlphabet("data: ev\r\n\n:x\0\xff", 15);
  static constexpr std::size_t kLimit = 32;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    random_source random(seed);
    event_parser parser{byte_count(kLimit)};
    std::vector<server_event> events;
    for (int i = 0; i < 50; ++i) {
      std::string bytes;
      for (std::uint64_t n = random.Below(8); n > 0; --n) {
        bytes += kAlphabet[random.Below(kAlphabet.size())];
      }
      parser.Feed(bytes, events);
    }
    for (const server_event& event : events) {
      REQUIRE(event.data.size() + event.type.size() <= kLimit);
    }
  }
}

}  // namespace
}  // namespace waxwingwing
