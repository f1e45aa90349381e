#pragma once

#include <cstddef>
#include <set>

namespace waxwingwing {

/// The numbered parts of the work that all VMs share, of which each has one holder. A limit that
/// all VMs must keep together is divided by them, without a message between the VMs.
struct work_parts {
  std::set<std::size_t> held;
  /// Parts of all VMs together.
  std::size_t all = 1;

  /// This VM's part of the whole, 0 to 1.
  double Share() const { return static_cast<double>(held.size()) / static_cast<double>(all); }
  bool operator==(const work_parts&) const = default;
};

}  // namespace waxwingwing
