// Runs the fault soak once for each seed; `make soak` runs several seeds at a time, each in a
// process of its own.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <exception>

#include "soak/entry_soak.h"

DEFINE_uint64(first_seed, 1, "first seed to run");
DEFINE_uint64(seeds, 1, "number of seeds to run, one after the other");
DEFINE_uint64(length_ms, 6000, "period in which faults are started, for each seed");
DEFINE_bool(unframed, false,
            "servers answer without a length or chunks, and are killed while they do");

namespace waxwingwing::soak {
namespace {

bool RunSeed(std::uint64_t seed) {
  try {
    const soak_result result =
        entry_soak({seed, milliseconds(FLAGS_length_ms), FLAGS_unframed}).Run();
    const bool passed = result.findings.empty();
    fmt::print("seed {}: {}, {} of {} requests answered, {} faults\n", seed,
               passed ? "passed" : "FAILED", result.answered, result.sent, result.faults.size());
    if (passed) return true;
    fmt::print("{}\n", result.findings.ToText());
    for (const std::string& fault : result.faults) fmt::print("  {}\n", fault);
  } catch (const std::exception& error) {
    fmt::print("seed {}: FAILED: {}\n", seed, error.what());
  }
  return false;
}

}  // namespace
}  // namespace waxwingwing::soak

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::uint64_t failed = 0;
  for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
    if (!waxwingwing::soak::RunSeed(seed)) ++failed;
  }
  fmt::print("{} passed, {} failed\n", FLAGS_seeds - failed, failed);
  return failed == 0 ? 0 : 1;
}
