#pragma once

#include <cstddef>
#include <set>

namespace waxwingwing {

/// The partitions of the work of all VMs that this VM holds. Partitions are numbered, and each has
/// one holder. They divide limits that apply to all VMs together without messages between the VMs.
struct work_partitions {
  /// Numbers of the partitions that this VM holds.
  std::set<std::size_t> held;
  /// Number of partitions of all VMs together.
  std::size_t all = 1;

  /// This VM's share of all partitions, 0 to 1.
  double Share() const { return static_cast<double>(held.size()) / static_cast<double>(all); }
  bool operator==(const work_partitions&) const = default;
};

}  // namespace waxwingwing
