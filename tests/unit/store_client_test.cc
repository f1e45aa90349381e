#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "tests/unit/big_endian.h"
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

/// An answer without a length, which ends with its connection.
scripted_http_server::step WithoutLength(const std::string& body) {
  scripted_http_server::step answer;
  answer.raw_answer = "HTTP/1.1 200 OK\r\n\r\n" + body;
  answer.close_after = true;
  return answer;
}

// Guards against taking the beginning of an answer for the answer, where nothing but the end of its
// connection shows its end.
TEST_CASE("a part of an answer of the store is not taken for the answer", "[platform]") {
  store_fixture fixture;
  const auto each_part = [&](const std::string& answer, const auto& call) {
    for (std::size_t size = 0; size < answer.size(); ++size) {
      INFO(answer.substr(0, size));
      fixture.server.Add(WithoutLength(answer.substr(0, size)));
      CHECK_FALSE(call());
    }
    fixture.server.Add(WithoutLength(answer));
    CHECK(call());
  };
  each_part(PageWith("a", false), [&] { return fixture.ReadNewest().has_value(); });
  each_part(R"({"offset":7,"end":8})", [&] {
    return RunAwaitable(fixture.context, fixture.store.Append(store_stream::kStalls, "x"))
        .has_value();
  });
  each_part(R"({"offset":7,"end":8})", [&] {
    return RunAwaitable(fixture.context,
                        fixture.store.AppendAt(store_stream::kStalls, "key", "value", 7))
        .has_value();
  });
  each_part(R"({"generation":3,"parts":[["waxwingwing-control-0",1,0]]})", [&] {
    return RunAwaitable(fixture.context,
                        fixture.store.KeepMembership("member", 2, milliseconds(1000)))
        .has_value();
  });
}

// Guards against the same in a page of records: its parts are refused, or are whole records that do
// not reach the end that the page states.
TEST_CASE("a part of a page of records holds whole records and does not look complete",
          "[platform]") {
  store_fixture fixture;
  const std::string record = std::string("\0\0\0\3", 4) + std::string("\1ab", 3);
  const std::string page = std::string("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\0", 16) + record + record;
  for (std::size_t size = 0; size <= page.size(); ++size) {
    INFO(size);
    fixture.server.Add(WithoutLength(page.substr(0, size)));
    const auto read = RunAwaitable(
        fixture.context, fixture.store.ReadFrom(store_stream::kServers, 5, milliseconds(0)));
    const bool between_records = size >= 16 && (size - 16) % record.size() == 0;
    CHECK(read.has_value() == between_records);
    if (!read) continue;
    CHECK(read->records.size() == (size - 16) / record.size());
    CHECK(read->next == 5 + read->records.size());
    CHECK((read->next == read->end) == (size == page.size()));
  }
}

/// The answer to a read of a configuration of `bytes`, in `parts` with a pause before each but the
/// first.
scripted_http_server::step SlowRecord(std::size_t bytes, std::size_t parts, milliseconds pause) {
  const std::string record = "\6config" + std::string(bytes, 'x');
  const std::string body = BigEndian(6, 8) + BigEndian(0, 8) + BigEndian(record.size(), 4) + record;
  const std::string whole =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  scripted_http_server::step answer;
  answer.part_pause = pause;
  const std::size_t size = whole.size() / parts + 1;
  for (std::size_t begin = 0; begin < whole.size(); begin += size) {
    answer.slow_parts.push_back(whole.substr(begin, size));
  }
  return answer;
}

// Guards against versions that are in force too late: when all VMs read a large record at one
// moment, it arrived for longer than a call may take, and each of them began again from nothing.
TEST_CASE("a record that arrives for longer than a call may take is read", "[platform]") {
  store_fixture fixture;
  fixture.server.Add(SlowRecord(400'000, 9, milliseconds(100)));
  const auto page = RunAwaitable(
      fixture.context, fixture.store.ReadFrom(store_stream::kOperators, 5, milliseconds(0)));
  REQUIRE(page);
  REQUIRE(page->records.size() == 1);
  CHECK(page->records[0].value->size() == 400'000);
  CHECK(fixture.server.seen().size() == 1);
}

// Guards against reads that wait without end for a store that has stopped in an answer.
TEST_CASE("a read whose records stop arriving fails", "[platform]") {
  store_fixture fixture;
  auto answer = SlowRecord(400'000, 4, milliseconds(100));
  answer.slow_parts.pop_back();
  fixture.server.Add(std::move(answer));
  const auto began_at = std::chrono::steady_clock::now();
  CHECK(!RunAwaitable(fixture.context,
                      fixture.store.ReadFrom(store_stream::kOperators, 5, milliseconds(0))));
  CHECK(std::chrono::steady_clock::now() - began_at < std::chrono::seconds(2));
}

// Guards against a busy store that gets busier: it answers in turn, and a VM that asks again waits
// behind its own first call, whose answer comes when nobody waits for it any more.
TEST_CASE("an answer that comes after its call was given up answers the next one", "[platform]") {
  store_fixture fixture;
  auto late = SlowRecord(1000, 1, milliseconds(0));
  late.delay = milliseconds(800);
  fixture.server.Add(std::move(late));
  scripted_http_server::step silent;
  silent.stay_silent = true;
  fixture.server.Add(silent);
  const auto read = [&] {
    return RunAwaitable(fixture.context,
                        fixture.store.ReadFrom(store_stream::kOperators, 5, milliseconds(0)));
  };
  CHECK(!read());
  const auto page = read();
  REQUIRE(page);
  CHECK(page->records.size() == 1);
  CHECK(page->asked_before >= milliseconds(400));
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
