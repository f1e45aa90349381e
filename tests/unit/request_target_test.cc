#include "waxwingwing/platform/request_target.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

namespace waxwingwing {
namespace {

TEST_CASE("segments and parameters are appended to a path", "[platform]") {
  request_target target("/v1/list");
  target.Segment("a b").Parameter("from", 7).Parameter("after", "rack 5&x=#1");
  CHECK(target.str() == "/v1/list/a%20b?from=7&after=rack%205%26x%3D%231");
  CHECK(request_target("/v1/list").Parameter("id", "aZ09-._~").str() == "/v1/list?id=aZ09-._~");
}

// Guards against requests that are not sent, or that ask for something else, because of a byte in
// one of their values.
TEST_CASE("a value of any bytes can be written into a request line", "[platform]") {
  const std::string unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  for (unsigned byte = 0; byte < 256; ++byte) {
    const char letter = static_cast<char>(byte);
    const bool is_plain = unreserved.find(letter) != std::string::npos;
    const std::string written = is_plain ? std::string(1, letter) : fmt::format("%{:02X}", byte);
    const std::string text = request_target("/a").Parameter("b", std::string(1, letter)).str();
    CHECK(text == "/a?b=" + written);
    CHECK(IsValidRequestTarget(text));
  }
}

TEST_CASE("only visible ASCII characters are written into a request line", "[platform]") {
  CHECK(IsValidRequestTarget("/a?b=c"));
  for (const std::string target : {"", "a", "/a b", "/a\n", "/a\x7f", "/\xc3\xa9"}) {
    CHECK(!IsValidRequestTarget(target));
  }
}

}  // namespace
}  // namespace waxwingwing
