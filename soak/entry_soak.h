#pragma once

#include <string>
#include <vector>

#include "soak/soak_callers.h"
#include "soak/soak_faults.h"
#include "tests/integration/entry_deployment.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing::soak {

struct soak_options {
  std::uint64_t seed = 1;
  /// Period in which faults are started.
  milliseconds length{6000};
  /// Servers answer without a length or chunks, and are killed while they do; there are no proxies.
  bool unframed = false;
};

struct soak_result {
  finding_list findings;
  std::size_t sent = 0;
  std::size_t answered = 0;
  /// Faults in the order in which they were started, with their start times in ms.
  std::vector<std::string> faults;
};

/// Fault soak: runs two entry VMs, a store, model runners and a plain service as separate processes
/// and injects faults that overlap. The schedule follows from the seed. Checks the guarantees to
/// callers and backend servers while the faults are in force, and recovery after the last fault has
/// ended.
class entry_soak {
 public:
  explicit entry_soak(const soak_options& options);

  soak_result Run();

 private:
  struct scheduled_fault {
    running_fault fault;
    time_point ends_at;
  };

  void BeginFaults();
  void EndFaults(time_point now);
  /// Writes the configuration of the newest version, also again when the store has lost it.
  void WriteNewestVersion();
  void CheckRecovery();
  void CheckRunners();

  const soak_options options_;
  random_source random_;
  integration::entry_deployment deployment_;
  std::vector<scheduled_fault> running_;
  std::uint64_t version_ = 1;
  /// Newest configuration version whose write was acknowledged.
  std::uint64_t acknowledged_ = 0;
  soak_result result_;
};

}  // namespace waxwingwing::soak
