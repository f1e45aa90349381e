#include "waxwingwing/dispatch/carrier_table.h"

#include <catch2/catch.hpp>
#include <map>

namespace waxwingwing {
namespace {

const time_point kStart = time_point(std::chrono::hours(1));

carrier_vm Carrier(const char* vm, const char* domain, double capacity = 1) {
  return {vm_id(vm), std::string(vm) + ":1", failure_domain_id(domain), capacity};
}

struct table_fixture {
  carrier_table table{failure_domain_id("ifo"), random_source(3)};

  std::map<vm_id, int> SelectOften(const std::set<vm_id>& excluded = {}) {
    std::map<vm_id, int> selected;
    for (int i = 0; i < 600; ++i) {
      const carrier_vm* carrier = table.Select(excluded, kStart);
      if (carrier == nullptr) continue;
      ++selected[carrier->vm];
      table.RecordSent(carrier->vm);
    }
    return selected;
  }
};

TEST_CASE("carriers of the own failure domain come first", "[dispatch]") {
  table_fixture fixture;
  fixture.table.Set({Carrier("a", "ifo"), Carrier("b", "ota"), Carrier("c", "ota")}, kStart);
  CHECK(fixture.SelectOften().size() == 1);
  CHECK(fixture.SelectOften({vm_id("a")}).size() == 2);
  fixture.table.Suspend(vm_id("a"), kStart + milliseconds(500));
  CHECK(fixture.SelectOften().count(vm_id("a")) == 0);
}

// Guards against a weak VM that carries as much as a strong one.
TEST_CASE("carriers get requests by their capacity", "[dispatch]") {
  table_fixture fixture;
  fixture.table.Set({Carrier("weak", "ifo", 0.25), Carrier("strong", "ifo", 1)}, kStart);
  auto selected = fixture.SelectOften();
  CHECK(selected[vm_id("strong")] > 2 * selected[vm_id("weak")]);
  CHECK(selected[vm_id("weak")] > 60);
}

TEST_CASE("a list of carriers expires", "[dispatch]") {
  table_fixture fixture;
  CHECK(fixture.table.IsEmpty(kStart));
  fixture.table.Set({Carrier("a", "ifo")}, kStart);
  CHECK(!fixture.table.IsEmpty(kStart));
  CHECK(fixture.table.Select({}, kStart + std::chrono::seconds(3)) == nullptr);
  CHECK(fixture.table.Select({vm_id("a")}, kStart) == nullptr);
}

}  // namespace
}  // namespace waxwingwing
