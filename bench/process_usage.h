#pragma once

#include <sys/types.h>

#include <string>

namespace waxwingwing::bench {

/// Resource usage of a process at one moment, as counted by the kernel and by the process itself.
struct process_usage {
  /// User and system time since the process started.
  double cpu_seconds = 0;
  double resident_bytes = 0;
  /// Bytes since the process started, from its metrics.
  double peer_sent = 0;
  double peer_received = 0;
  double log_sent = 0;
  double log_received = 0;
  double vm_list_received = 0;
  double backend_bytes = 0;
};

/// Reads `/proc/PID` and `/metrics` at the caller address. Throws std::runtime_error.
process_usage ReadUsage(pid_t pid, const std::string& caller_address);

/// Load average of the last minute.
double LoadAverage();

}  // namespace waxwingwing::bench
