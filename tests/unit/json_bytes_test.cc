#include "waxwingwing/platform/json_bytes.h"

#include <catch2/catch.hpp>
#include <string>

#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

TEST_CASE("JSON whose strings are UTF-8 is parsed as it is", "[platform]") {
  const auto parsed = ParseJsonBytes("{\"a\":[\"\xf4\x8f\xbf\x81\",\"caf\xc3\xa9\",7]}");
  REQUIRE(parsed);
  CHECK((*parsed)["a"][0] == "\xf4\x8f\xbf\x81");
  CHECK((*parsed)["a"][1] == "caf\xc3\xa9");
  CHECK((*parsed)["a"][2] == 7);
}

// Guards against a page of records that is lost as a whole because of one byte in one key.
TEST_CASE("bytes in strings that are not UTF-8 are kept", "[platform]") {
  for (unsigned byte = 0x80; byte < 0x100; ++byte) {
    const std::string text = "a" + std::string(1, static_cast<char>(byte)) + "z";
    std::string page = "[{\"";
    page.append(text).append("\":\"").append(text).append("\"},\"caf\xc3\xa9\"]");
    const auto parsed = ParseJsonBytes(page);
    REQUIRE(parsed);
    CHECK((*parsed)[0][text] == text);
    CHECK((*parsed)[1] == "caf\xc3\xa9");
  }
}

TEST_CASE("strings of random bytes are kept", "[platform][fuzz]") {
  random_source random(7);
  for (int round = 0; round < 2000; ++round) {
    std::string text;
    for (int i = 0; i < 12; ++i) text += static_cast<char>(0x80 + random.Next() % 0x80);
    text += "\xff";
    const auto parsed = ParseJsonBytes("[\"" + text + "\"]");
    REQUIRE(parsed);
    REQUIRE((*parsed)[0] == text);
  }
}

TEST_CASE("text that is malformed beside its bytes is refused", "[platform]") {
  for (const char* text : {"", "{", "[\"\xff\"", "\xff", "[\"a\n\xff\"]", "[\xff]"}) {
    CHECK(!ParseJsonBytes(text));
  }
  CHECK(!ParseJsonBytes(std::string(100, '[') + "\"\xff\"" + std::string(100, ']')));
}

}  // namespace
}  // namespace waxwingwing
