#include "forward/carriage.h"

#include <catch2/catch.hpp>

namespace waxwingwing {
namespace {

TEST_CASE("what a VM tells a carrier arrives, and goes no further", "[forward]") {
  http_fields fields;
  fields.set("Host", "desk.example");
  WriteCarriage(fields, {42, 1, milliseconds(310)});
  const carriage told = TakeCarriage(fields);
  CHECK(told.configuration == 42);
  CHECK(told.possible_runs == 1);
  CHECK(told.age == milliseconds(310));
  CHECK(std::distance(fields.begin(), fields.end()) == 1);
}

// Guards against a request that gets more time, or more runs, by a header that cannot be read.
TEST_CASE("what a carrier cannot read keeps its default", "[forward]") {
  http_fields fields;
  fields.set("Waxwingwing-Configuration", "-1");
  fields.set("Waxwingwing-Possible-Runs", "99999999999999999999");
  fields.set("Waxwingwing-Age-Ms", "12x");
  const carriage told = TakeCarriage(fields);
  CHECK(told.configuration == 0);
  CHECK(told.possible_runs == 0);
  CHECK(told.age == milliseconds(0));
  CHECK(fields.begin() == fields.end());
}

TEST_CASE("a carrier's own refusal is told from a server's answer", "[forward]") {
  http_fields of_server;
  of_server.set("Waxwingwing-Refusal", "stopping");
  WriteServer(of_server, backend_server_id("s1"), 1700000000000);
  const carried_answer answer = TakeCarriedAnswer(of_server);
  CHECK(!answer.refusal);
  CHECK(answer.server == backend_server_id("s1"));
  CHECK(answer.born == 1700000000000);
  CHECK(of_server.begin() == of_server.end());

  http_fields of_carrier;
  WriteRefusal(of_carrier, "stale_keys");
  const auto refusal = TakeCarriedAnswer(of_carrier).refusal;
  REQUIRE(refusal);
  CHECK(refusal->is_of_carrier);
  WriteRefusal(of_carrier, "no_place_in_time");
  CHECK(!TakeCarriedAnswer(of_carrier).refusal->is_of_carrier);
}

}  // namespace
}  // namespace waxwingwing
