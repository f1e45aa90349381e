#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// What an entry VM learns from its settings.
struct entry_settings {
  vm_id vm;
  failure_domain_id failure_domain;
  /// `ip:port` for callers and for the balancer's checks.
  std::string caller_address;
  std::string ready_address;
  /// `ip:port` of the platform's store.
  std::string store_address;
  /// Address of this VM without a port, and the ports that are free for its own use.
  std::string own_ip;
  std::uint16_t first_port = 0;
  std::uint16_t last_port = 0;
  std::map<failure_domain_id, std::string> region_of_domain;
  /// The whole deployment starts for the first time.
  bool first_start = false;
  /// Whether keys that were taken away must stop working on VMs that cannot read the store, too.
  bool strict_revoke = false;
  milliseconds revoke_limit{5000};
  /// Time after a configuration's acknowledgement at which it must be in force.
  milliseconds configuration_limit{2000};
  /// Time after a backend server's notice of leaving at which it may get no more requests.
  milliseconds leaving_limit{2000};
  /// Time between SIGTERM and the end of the process by force.
  milliseconds stop_limit{8000};
  /// Retries of all VMs together in `retry_window`, as a part of the requests and a constant.
  double retry_ratio = 0.2;
  double retry_slack = 0;
  milliseconds retry_window{10000};
  /// Partitions of a topic of the store.
  std::size_t partitions = 1;
  /// Shortest time after which the store forgets a member that is silent.
  milliseconds min_member_time{1000};
};

}  // namespace waxwingwing
