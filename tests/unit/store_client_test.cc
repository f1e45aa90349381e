#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <string>

#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"

namespace waxwingwing {
namespace {

struct store_fixture {
  result<store_page> ReadNewest(store_stream stream = store_stream::kServers) {
    return RunAwaitable(context, store.ReadNewest(stream));
  }

  boost::asio::io_context context;
  scripted_http_server server{context};
  metrics_registry metrics;
  http_client http{&metrics};
  store_client store{http, server.address(), 12};
};

/// An answer of the store with one record, after which others follow if `has_more`.
std::string PageWith(const std::string& key, bool has_more) {
  return R"({"end":9,"has_more":)" + std::string(has_more ? "true" : "false") +
         R"(,"items":[{"key":")" + key + R"(","value":"aGVsbG8="}]})";
}

// Guards against VMs that never start: the key of another writer's entry ended a page, and the
// request for the next page was not sent, or asked for another key.
TEST_CASE("a list is read on after a key of any bytes", "[platform]") {
  struct example {
    std::string key;
    /// The key as JSON writes it.
    std::string text;
    std::string encoded;
  };
  const example shown = GENERATE(
      example{"rack 5 slot 7", "rack 5 slot 7", "rack%205%20slot%207"},
      example{"a&after=z#b?+%41", "a&after=z#b?+%41", "a%26after%3Dz%23b%3F%2B%2541"},
      example{"a\r\nb", "a\\r\\nb", "a%0D%0Ab"}, example{"caf\xc3\xa9", "caf\\u00e9", "caf%C3%A9"},
      example{"a\"/\\", "a\\\"/\\\\", "a%22%2F%5C"},
      example{"a\xff\xc3z", "a\xff\xc3z", "a%FF%C3z"});
  store_fixture fixture;
  fixture.server.Add({200, PageWith(shown.text, true)});
  fixture.server.Add({200, PageWith("z", false)});
  const auto page = fixture.ReadNewest();
  REQUIRE(page);
  REQUIRE(page->records.size() == 2);
  CHECK(page->records.front().key == shown.key);
  CHECK(fixture.server.seen().back().target ==
        "/v1/log-newest?topic=keyed.servers&part=0&after=" + shown.encoded);
}

// Guards against VMs that never start because of one page: what the pages before it hold is known.
TEST_CASE("the pages of a list before one that cannot be read are kept", "[platform]") {
  store_fixture fixture;
  fixture.server.Add({200, PageWith("a", true)});
  SECTION("refused") { fixture.server.Add({503, "{}"}); }
  SECTION("malformed") { fixture.server.Add({200, "{"}); }
  SECTION("without a key to go on from") {
    fixture.server.Add({200, R"({"end":9,"has_more":true,"items":[{"key":7}]})"});
  }
  SECTION("that does not say whether it is the last one") {
    fixture.server.Add({200, R"({"end":9,"items":[]})"});
  }
  SECTION("the same again") { fixture.server.Add({200, PageWith("a", true)}); }
  const auto page = fixture.ReadNewest();
  REQUIRE(page);
  CHECK(page->records.front().key == "a");
  CHECK(page->next == 9);
  CHECK(!page->missing_reason.empty());
}

TEST_CASE("a list whose first page cannot be read is not read", "[platform]") {
  store_fixture fixture;
  fixture.server.Add({503, "{}"});
  CHECK(!fixture.ReadNewest());
}

// Guards against the removal of servers that are on a page after the last one that is read.
TEST_CASE("a list of too many pages is not complete", "[platform]") {
  store_fixture fixture;
  for (int i = 0; i < 300; ++i) fixture.server.Add({200, PageWith(std::to_string(1000 + i), true)});
  const auto page = fixture.ReadNewest();
  REQUIRE(page);
  CHECK(page->records.size() < 300);
  CHECK(!page->missing_reason.empty());
}

// Guards against an evacuation that ends since its record cannot be read: only a record without a
// value says that it does.
TEST_CASE("a value that cannot be read is not an absent one", "[platform]") {
  store_fixture fixture;
  fixture.server.Add({200, R"({"end":9,"has_more":false,"items":[{"key":"a","value":"!"},
      {"key":"b","value":7},{"key":"c","value":null},{"key":"d"},{"key":"e","value":""}]})"});
  const auto page = fixture.ReadNewest(store_stream::kOperators);
  REQUIRE(page);
  REQUIRE(page->records.size() == 5);
  CHECK(page->records[0].value == "");
  CHECK(page->records[1].value == "");
  for (std::size_t i = 2; i < 5; ++i) CHECK(!page->records[i].value);
}

}  // namespace
}  // namespace waxwingwing
