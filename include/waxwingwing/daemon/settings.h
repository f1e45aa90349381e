#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// The validated settings of `waxwingwing serve`. Each field is set by the
/// flag of the same name; the flags of times and sizes end in `_ms` and `_bytes`.
struct daemon_settings {
  /// Set by `--vm_id`.
  vm_id vm;
  failure_domain_id failure_domain;
  std::string cluster;
  std::string caller_address;
  std::string peer_address;
  std::string log_address;
  std::string vm_list_address;
  std::uint32_t worker_threads = 2;
  std::uint32_t max_connections = 4096;
  milliseconds drain_grace{2000};
  milliseconds drain_limit{600000};
  milliseconds first_byte_timeout{10000};
  byte_count stream_buffer{16384};
  byte_count process_buffer{std::uint64_t{64} << 20U};
  std::string routing_strategy;
};

/// Reads the settings from arguments (`--name=value`) and, for flags that are not given, from the
/// environment (`WAXWINGWING_NAME`). Adds every invalid setting to `findings`, with the flag or
/// variable as its place; the result is meaningful only when `findings` stays empty.
daemon_settings ReadDaemonSettings(const std::vector<std::string>& arguments,
                                   finding_list& findings);

/// Returns the help text of `serve`: its flags with their types, default values and variables.
std::string DescribeDaemonFlags();

}  // namespace waxwingwing
