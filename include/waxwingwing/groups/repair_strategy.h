#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// What a repair strategy bases its decision on: the state of a replica that lost members.
struct repair_case {
  std::size_t lost_members = 0;
  /// Free VMs in the replica's own fabric domain.
  std::size_t spares = 0;
  /// Members that are not lost.
  std::size_t survivors = 0;
  std::size_t vms_per_replica = 0;
  /// Whether some fabric domain has enough free VMs for a complete replica.
  bool fits_replica = false;
};

enum class repair_action {
  /// Replace the lost members by spares of the same fabric domain.
  kReplaceMembers,
  /// Form another replica; keep the survivors loaded until it serves.
  kFormSuccessor,
  /// Release the survivors; a replica is then formed from scratch, as for a missing one.
  kRelease,
  /// Keep the survivors loaded and wait for VMs.
  kWait,
};

/// Decides how a replica that lost members is repaired.
class repair_strategy {
 public:
  virtual ~repair_strategy() = default;
  virtual repair_action Choose(const repair_case& situation) const = 0;
};

/// Creates `replace_member` or `reform`; fails with the list of known names when `name` is neither.
result<std::unique_ptr<repair_strategy>> MakeRepairStrategy(std::string_view name);

}  // namespace waxwingwing
