#include "waxwingwing/streaming/engine_stream.h"

#include <catch2/catch.hpp>

#include "tests/unit/mutation.h"

namespace waxwingwing {
namespace {

using verdict = engine_stream::verdict;

server_event Token(const std::string& request, const std::string& attempt, int index) {
  return {"", R"({"id":")" + request + R"(","attempt":")" + attempt + R"(","index":)" +
                  std::to_string(index) +
                  R"(,"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]})"};
}

engine_stream MakeStream(std::uint64_t first = 0) {
  return engine_stream(request_id("r"), attempt_id("a"), token_count(first));
}

TEST_CASE("tokens are accepted in order and only [DONE] completes the stream", "[streaming]") {
  engine_stream stream = MakeStream();
  REQUIRE(stream.Accept(Token("r", "a", 0)).outcome == verdict::kToken);
  REQUIRE(stream.Accept(Token("r", "a", 1)).content == "x");
  REQUIRE_FALSE(stream.complete());
  REQUIRE(stream.Accept({"", "[DONE]"}).outcome == verdict::kComplete);
  REQUIRE(stream.complete());
  REQUIRE(stream.next_index() == token_count(2));
}

TEST_CASE("a token of another request or attempt makes the attempt unusable", "[streaming]") {
  engine_stream foreign_request = MakeStream();
  REQUIRE(foreign_request.Accept(Token("other", "a", 0)).reason == drop_reason::kRequestMismatch);
  engine_stream foreign_attempt = MakeStream();
  REQUIRE(foreign_attempt.Accept(Token("r", "b", 0)).reason == drop_reason::kAttemptMismatch);
  REQUIRE_FALSE(foreign_attempt.usable());
  // Later events are dropped, including `[DONE]`.
  REQUIRE(foreign_attempt.Accept({"", "[DONE]"}).outcome == verdict::kDropped);
  REQUIRE_FALSE(foreign_attempt.complete());
}

TEST_CASE("a gap in the tokens makes the attempt unusable and keeps the resume offset",
          "[streaming]") {
  engine_stream stream = MakeStream(3);
  REQUIRE(stream.Accept(Token("r", "a", 3)).outcome == verdict::kToken);
  const auto gap = stream.Accept(Token("r", "a", 5));
  REQUIRE(gap.outcome == verdict::kUnusable);
  REQUIRE(gap.reason == drop_reason::kGap);
  REQUIRE(stream.next_index() == token_count(4));
}

TEST_CASE("a token that was already delivered is dropped", "[streaming]") {
  engine_stream stream = MakeStream(2);
  const auto repeated = stream.Accept(Token("r", "a", 1));
  REQUIRE(repeated.outcome == verdict::kDropped);
  REQUIRE(repeated.reason == drop_reason::kRepeatedIndex);
  REQUIRE(stream.Accept(Token("r", "a", 2)).outcome == verdict::kToken);
}

TEST_CASE("a malformed event makes the attempt unusable", "[streaming]") {
  const std::string cases[] = {"",
                               "{",
                               "[]",
                               "{}",
                               R"({"id":"r","attempt":"a","index":-1})",
                               R"({"id":"r","attempt":"a","index":0,"choices":[]})",
                               R"({"id":"r","attempt":"a","index":0,"choices":[1]})"};
  for (const std::string& data : cases) {
    CAPTURE(data);
    engine_stream stream = MakeStream();
    REQUIRE(stream.Accept({"", data}).reason == drop_reason::kMalformed);
    REQUIRE_FALSE(stream.usable());
  }
}

TEST_CASE("an error event of the engine is not part of the answer", "[streaming]") {
  engine_stream stream = MakeStream();
  REQUIRE(stream.Accept({"error", "[DONE]"}).reason == drop_reason::kEngineError);
  REQUIRE_FALSE(stream.complete());
}

TEST_CASE("events after the end are dropped", "[streaming]") {
  engine_stream stream = MakeStream();
  stream.Accept({"", "[DONE]"});
  REQUIRE(stream.Accept(Token("r", "a", 0)).reason == drop_reason::kAfterEnd);
}

TEST_CASE("response headers of another request make the attempt unusable", "[streaming]") {
  engine_stream stream = MakeStream();
  REQUIRE(stream.CheckHeaders("r", "a") == drop_reason::kNone);
  REQUIRE(stream.CheckHeaders("r", "b") == drop_reason::kAttemptMismatch);
  REQUIRE_FALSE(stream.usable());
  engine_stream other = MakeStream();
  REQUIRE(other.CheckHeaders("", "a") == drop_reason::kRequestMismatch);
  REQUIRE(ToText(drop_reason::kEventTooLarge) == "event_too_large");
}

TEST_CASE("a mutated event is accepted only as the next token of the attempt",
          "[streaming][fuzz]") {
  random_source random(20240703);
  std::uint64_t taken = 0;
  for (int run = 0; run < 30000; ++run) {
    const std::uint64_t first = random.Below(3);
    engine_stream stream = MakeStream(first);
    server_event event = Token("r", "a", 1);
    event.data = Mutate(event.data, random);
    CAPTURE(run, event.data);
    const engine_stream::event_result result = stream.Accept(event);
    const bool token = result.outcome == verdict::kToken;
    taken += token ? 1 : 0;
    REQUIRE(stream.next_index() == token_count(first + (token ? 1 : 0)));
    REQUIRE((result.reason == drop_reason::kNone) == token);
    REQUIRE(stream.usable() == (result.outcome != verdict::kUnusable));
    REQUIRE_FALSE(stream.complete());
  }
  CHECK(taken > 100);
}

}  // namespace
}  // namespace waxwingwing
