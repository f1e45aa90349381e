#include "gateway/chat_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/unit/mutation.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr const char* kBody =
    R"({"model":"orders","stream":true,"max_tokens":12,"temperature":0.5,"messages":[)"
    R"({"role":"system","content":"be short"},{"role":"user","content":"order \u00e9 17"}]})";

result<chat_request> Parse(const std::string& body) {
  return ParseChatRequest(body, byte_count(1024));
}

TEST_CASE("a chat body is parsed and passed on with all members", "[gateway]") {
  const auto request = Parse(kBody);
  REQUIRE(request);
  CHECK(request->model == "orders");
  CHECK(request->stream);
  CHECK(request->max_tokens == token_count(12));
  CHECK(json::parse(request->engine_body) == json::parse(kBody));
}

// Guards against an engine that sends the answer in one piece: its tokens could neither be matched
// to the request nor be resumed.
TEST_CASE("the engine always streams and gets a token limit", "[gateway]") {
  const auto request = Parse(R"({"model":"m","messages":[{"content":"x"}]})");
  REQUIRE(request);
  CHECK_FALSE(request->stream);
  const json body = json::parse(request->engine_body);
  CHECK(body["stream"] == true);
  CHECK(body["max_tokens"] == request->max_tokens.get());
}

TEST_CASE("the error for a malformed chat body names the field at fault", "[gateway]") {
  const auto reason = [](const char* body) { return Parse(body).reason(); };
  CHECK(reason("") == "the body must be a JSON object");
  CHECK(reason("[]") == "the body must be a JSON object");
  CHECK(reason(R"({"messages":[{"content":"x"}]})") == "$.model must be a string");
  CHECK(reason(R"({"model":"m","messages":[]})").find("$.messages") == 0);
  CHECK(reason(R"({"model":"m","messages":[{"content":5}]})").find("$.messages") == 0);
  const std::string begin = R"({"model":"m","messages":[{"content":"x"}],)";
  CHECK(Parse(begin + R"("max_tokens":0})").reason().find("$.max_tokens") == 0);
  CHECK(Parse(begin + R"("max_tokens":-1})").reason().find("$.max_tokens") == 0);
  CHECK(Parse(begin + R"("max_tokens":1.5})").reason().find("$.max_tokens") == 0);
  CHECK(Parse(begin + R"("stream":"yes"})").reason().find("$.stream") == 0);
}

// Guards against a nested body that exhausts the stack of a request thread when it is serialised.
TEST_CASE("a deeply nested chat body is refused", "[gateway]") {
  const std::string deep(200000, '[');
  CHECK_FALSE(Parse(deep));
  CHECK_FALSE(Parse(R"({"model":"m","messages":[{"content":"x"}],"x":)" + deep +
                    std::string(200000, ']') + "}"));
}

TEST_CASE("a mutated chat body gives either a valid engine request or a reason",
          "[gateway][fuzz]") {
  random_source random(20240702);
  std::uint64_t valid = 0;
  for (int run = 0; run < 30000; ++run) {
    const std::string body = Mutate(kBody, random);
    CAPTURE(run, body);
    result<chat_request> request = Parse(body);
    if (!request) {
      REQUIRE_FALSE(request.reason().empty());
      continue;
    }
    ++valid;
    REQUIRE(request->max_tokens.get() > 0);
    const json passed_on = json::parse(request->engine_body);
    REQUIRE(passed_on["model"] == request->model);
    REQUIRE(passed_on["stream"] == true);
    REQUIRE(passed_on["max_tokens"] == request->max_tokens.get());
  }
  CHECK(valid > 100);
}

}  // namespace
}  // namespace waxwingwing
