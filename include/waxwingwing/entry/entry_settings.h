#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// The platform's interface for calls that only one VM at a time may make.
struct duty_settings {
  /// `ip:port`.
  std::string address;
  /// Calls that the platform accepts a second from all VMs together.
  double calls_per_second = 1;
  /// Whether the platform expects reports of usage, and orders for the number of servers.
  bool reports_usage = false;
  bool orders_servers = false;
  /// Length of a window of the usage reports, and time after its end by which its report is due.
  milliseconds usage_window{5000};
  milliseconds usage_due{10000};
  /// Time within which the calls of two VMs must not alternate.
  milliseconds lease{3000};
  /// Time after a VM resumes, or its link heals, in which late calls of it may arrive.
  milliseconds thaw{300};
};

/// Settings of an entry VM, read from the platform's settings file at start.
struct entry_settings {
  vm_id vm;
  failure_domain_id failure_domain;
  /// `ip:port` on which callers connect, and on which the load balancer's health checks arrive.
  std::string caller_address;
  std::string readiness_address;
  /// `ip:port` of the platform's store.
  std::string store_address;
  /// IP address of this VM, and the range of ports (inclusive) reserved for the product.
  std::string own_ip;
  std::uint16_t first_port = 0;
  std::uint16_t last_port = 0;
  std::map<failure_domain_id, std::string> region_of_domain;
  /// Whether this is the first start of the whole deployment.
  bool first_start = false;
  /// Whether revoked API keys must also stop working on VMs that cannot reach the store.
  bool strict_revoke = false;
  /// Time after which a revoked API key must no longer be accepted.
  milliseconds revoke_limit{5000};
  /// Time after the store acknowledged a configuration by which it must be in force.
  milliseconds configuration_limit{2000};
  /// Time after a backend server announces that it is draining by which it must get no more
  /// requests.
  milliseconds leaving_limit{2000};
  /// Time between SIGTERM and the forced termination of the process.
  milliseconds termination_grace_period{8000};
  /// Retry budget of all VMs together in each `retry_window`: `retry_ratio` times the number of
  /// requests, plus `retry_slack`.
  double retry_ratio = 0.2;
  double retry_slack = 0;
  milliseconds retry_window{10000};
  /// Number of partitions of each topic in the store.
  std::size_t partitions = 1;
  /// Processor time available to the process, in cores, and bandwidth of the VM's link in Mbit/s.
  double processor = 1;
  double link_mbps = 1000;
  /// Memory of the process and number of its file descriptors; some of the latter are for files
  /// only. 0: not stated.
  byte_count memory{0};
  std::size_t max_descriptors = 0;
  /// Shortest lifetime of a silent member that the store accepts.
  milliseconds min_member_lifetime{1000};
  /// Empty when the platform has no such interface.
  std::optional<duty_settings> duties;
};

}  // namespace waxwingwing
