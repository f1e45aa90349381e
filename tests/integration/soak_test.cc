// A short seeded run of the fault soak, and the seeds that once failed.
#include <catch2/catch.hpp>
#include <string>

#include "soak/entry_soak.h"

namespace waxwingwing::integration {
namespace {

void CheckSeed(std::uint64_t seed, bool unframed = false) {
  const soak::soak_result result = soak::entry_soak({seed, milliseconds(5000), unframed}).Run();
  const std::string findings = result.findings.ToText();
  CAPTURE(seed, result.faults, findings);
  CHECK(findings.empty());
  CHECK(result.answered > 0);
}

TEST_CASE("soak: the promises hold under overlapping faults, seeds 6 to 8", "[soak]") {
  for (std::uint64_t seed = 6; seed <= 8; ++seed) CheckSeed(seed);
}

// The other seeds do not draw this fault.
TEST_CASE("soak: the promises hold also when the store is restored, seed 14", "[soak]") {
  CheckSeed(14);
}

TEST_CASE("soak: the promises hold when servers answer without a length, seeds 1 to 3", "[soak]") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) CheckSeed(seed, true);
}

// Guards against joins of another group for a head that was paused, whose registration lapsed and
// which returns open.
TEST_CASE("soak: a head that was silent leaves its group before it joins another, seed 5440",
          "[soak]") {
  CheckSeed(5440);
}

}  // namespace
}  // namespace waxwingwing::integration
