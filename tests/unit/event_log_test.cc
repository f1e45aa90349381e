#include "waxwingwing/logging/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace waxwingwing {
namespace {

std::vector<nlohmann::json> Lines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) lines.push_back(nlohmann::json::parse(line));
  return lines;
}

event_log::sink StringSink(std::string& target) {
  return [&target](std::string_view bytes) {
    target += bytes;
    return bytes.size();
  };
}

// Quotes, control characters and bytes outside ASCII in a text must not break the JSON of the line.
TEST_CASE("each log line is a valid JSON object for any text content", "[logging]") {
  manual_clock clock;
  std::string output;
  event_log log(clock, "vm-1", StringSink(output));
  log.Write("tried", {{"text", "a\"b\\c\n\x01\xff"},
                      {"number", 7},
                      {"age_ms", duration(milliseconds(1500))},
                      {"flag", true}});
  log.Flush();
  const auto lines = Lines(output);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "tried");
  CHECK(lines[0]["vm"] == "vm-1");
  CHECK(lines[0]["age_ms"] == 1500);
  CHECK(lines[0]["flag"] == true);
}

// A flood of routine lines must not push out the lines that explain a failure.
TEST_CASE("routine lines are dropped before essential lines, and dropped lines are counted",
          "[logging]") {
  manual_clock clock;
  std::string output;
  event_log log(clock, "vm-1", StringSink(output));
  for (int i = 0; i < 1000; ++i) log.Write("routine", {}, event_log::importance::kRoutine);
  for (int i = 0; i < 100; ++i) log.Write("needed", {{"number", i}});
  log.Flush();
  std::size_t needed = 0;
  std::uint64_t dropped = 0;
  for (const auto& line : Lines(output)) {
    needed += line["event"] == "needed" ? 1 : 0;
    dropped += line.value("lines_dropped", 0);
  }
  CHECK(needed == 100);
  CHECK(dropped == log.dropped());
  CHECK(dropped > 0);
}

// Nobody reads the pipe, so it fills up. A blocking write would hang the test.
TEST_CASE("a full pipe neither blocks the log nor lets its buffer grow without bound",
          "[logging]") {
  std::array<int, 2> pipe{};
  REQUIRE(::pipe(pipe.data()) == 0);
  manual_clock clock;
  event_log log(clock, "vm-1", DescriptorSink(pipe[1]));
  for (int second = 0; second < 100; ++second) {
    clock.Advance(std::chrono::seconds(1));
    for (int i = 0; i < 300; ++i) log.Write("needed", {{"text", std::string(200, 'x')}});
    log.Flush();
  }
  CHECK(log.dropped() > 0);
  ::close(pipe[0]);
  ::close(pipe[1]);
}

}  // namespace
}  // namespace waxwingwing
