#pragma once

#include <cstdint>
#include <string>

#include "waxwingwing/core/ids.h"

namespace waxwingwing {

enum class vm_role { kEngine, kEntry, kService };

enum class vm_state { kLive, kLeaving };

/// One row of the platform's VM list.
struct vm_entry {
  vm_id id;
  vm_role role = vm_role::kEngine;
  /// Set for plain services only.
  service_id service;
  failure_domain_id failure_domain;
  fabric_domain_id fabric_domain;
  /// `ip:port`; for entry VMs the peer address.
  std::string address;
  std::uint32_t accelerators = 0;
  vm_state state = vm_state::kLive;

  bool operator==(const vm_entry&) const = default;
};

}  // namespace waxwingwing
