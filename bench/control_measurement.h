#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/process_usage.h"
#include "tests/integration/deployment.h"

namespace waxwingwing::bench {

/// Size of one deployment of three failure domains.
struct deployment_size {
  std::size_t entry_vms_per_domain = 3;
  std::size_t engines_per_domain = 4;

  std::size_t entry_vms() const { return 3 * entry_vms_per_domain; }
  std::size_t engines() const { return 3 * engines_per_domain; }
};

/// Mean use of one entry VM over the measuring time.
struct control_rates {
  double cpu_percent = 0;
  /// The largest of all entry VMs; in general a lease holder.
  double max_cpu_percent = 0;
  double resident_mb = 0;
  double peer_sent = 0;
  double peer_received = 0;
  double log_received = 0;
  double log_sent = 0;
  double vm_list_received = 0;
  double backend_bytes = 0;
  /// Of the whole deployment.
  double log_appends_per_second = 0;
  double notes_per_second = 0;
  /// From submitting a note to being in force on every node; none when not measured.
  std::vector<double> in_force_seconds;
  double load_before = 0;
  double load_after = 0;
};

/// Starts a deployment of the size and waits until all replicas serve.
class control_measurement {
 public:
  explicit control_measurement(const deployment_size& size);

  /// Measures for `seconds`; with `notes_per_second` above 0 release notes are published meanwhile.
  control_rates Measure(double seconds, double notes_per_second);

 private:
  /// Publishes at the rate for `seconds`; seconds from submitting each note to being in force on
  /// every node, in rising order.
  std::vector<double> PublishNotes(double seconds, double notes_per_second);
  /// Changes the organisation `acme`; the id of the note.
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
