#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/process_usage.h"
#include "tests/integration/deployment.h"

namespace waxwingwing::bench {

/// Size of a deployment with three failure domains.
struct deployment_size {
  std::size_t entry_vms_per_domain = 3;
  std::size_t engines_per_domain = 4;

  std::size_t entry_vms() const { return 3 * entry_vms_per_domain; }
  std::size_t engines() const { return 3 * engines_per_domain; }
};

/// Mean resource usage of one entry VM during the measurement; traffic in bytes per second.
struct control_rates {
  double cpu_percent = 0;
  /// Largest value of all entry VMs, usually that of a lease holder.
  double max_cpu_percent = 0;
  double resident_mb = 0;
  double peer_sent = 0;
  double peer_received = 0;
  double log_received = 0;
  double log_sent = 0;
  double vm_list_received = 0;
  double backend_bytes = 0;
  /// Sum over the whole deployment.
  double log_appends_per_second = 0;
  double notes_per_second = 0;
  /// Time from submitting each note until it was in force on every node; empty without notes.
  std::vector<double> in_force_seconds;
  double load_before = 0;
  double load_after = 0;
};

/// Measures the idle control plane of a deployment. The constructor starts a deployment of the size
/// and waits until all replicas serve.
class control_measurement {
 public:
  explicit control_measurement(const deployment_size& size);

  /// Measures for `seconds`; publishes release notes during that time when `notes_per_second` is
  /// above 0.
  control_rates Measure(double seconds, double notes_per_second);

 private:
  /// Publishes release notes at the rate for `seconds`. Returns the seconds from submitting each
  /// note until it was in force on every node, in ascending order.
  std::vector<double> PublishNotes(double seconds, double notes_per_second);
  /// Publishes a note that changes the organisation `acme`; returns the id of the note.
  std::string PublishNote();
  bool IsInForce(const std::string& note);
  std::vector<process_usage> ReadAll();
  std::uint64_t LogAppends();

  integration::deployment running_;
  std::vector<std::string> entry_vms_;
  std::uint64_t notes_ = 0;
  std::uint64_t revision_ = 0;
};

nlohmann::json ToJson(const control_rates& rates);

}  // namespace waxwingwing::bench
