// Lists of records that let something pass: absent, empty and unreadable ones.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/record_decoder.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

json ConfigurationRecord() {
  return json::parse(R"({"version":7,
    "routes":[{"name":"r","host":"h.example","path_prefix":"/a/","type":"idempotent",
       "timeout_ms":800,"service":"desk","attempts":1,"anonymous":false}],
    "services":[{"name":"desk"}],
    "tenants":[{"name":"first","api_keys":["k1"]}]})");
}

// Guards against requests that run with any key, since the operators have taken away the last
// organisation.
TEST_CASE("an empty list of organisations lets no key pass, and an absent one all", "[platform]") {
  json record = ConfigurationRecord();
  CHECK((*DecodeConfiguration(record.dump()))->NeedsKeys());
  record["tenants"] = json::array();
  const auto empty = DecodeConfiguration(record.dump());
  REQUIRE(empty);
  CHECK((*empty)->NeedsKeys());
  CHECK((*empty)->OrganisationOf("k1") == nullptr);
  record.erase("tenants");
  const auto absent = DecodeConfiguration(record.dump());
  REQUIRE(absent);
  CHECK(!(*absent)->NeedsKeys());
}

}  // namespace
}  // namespace waxwingwing
