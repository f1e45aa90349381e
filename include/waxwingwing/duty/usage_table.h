#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

using usage_counts = std::map<organisation_id, std::uint64_t>;

/// Requests of some organisations that one process of a VM has counted in a window so far.
struct usage_entry {
  /// Random number of the process that counted.
  incarnation counter;
  /// Windows are numbered from the start of 1970.
  std::uint64_t window = 0;
  usage_counts counts;

  bool operator==(const usage_entry&) const = default;
};

/// Counts of the requests that began to run, by window, counting process and organisation.
///
/// The counts of one process only rise, and a merge keeps the higher one. So a report that is lost,
/// repeated, late or received from several relays neither drops nor doubles a request. Use from one
/// thread.
class usage_table {
 public:
  usage_table(incarnation self, milliseconds window) : self_(self), window_(window) {}

  std::uint64_t WindowAt(milliseconds time) const;
  /// Counts a request that began to run at this VM.
  void Count(const organisation_id& organisation, milliseconds time);
  /// Adds reports of other VMs. Windows before `oldest`, windows later than the next one, and
  /// processes beyond the limit of a window are left out.
  void Merge(const std::vector<usage_entry>& entries, std::uint64_t oldest, milliseconds time);
  /// Removes the windows before `oldest`.
  void RemoveBefore(std::uint64_t oldest);

  /// Number of requests of each organisation in a window.
  usage_counts Sum(std::uint64_t window) const;
  /// Number of processes that have counted requests in a window.
  std::size_t Counters(std::uint64_t window) const;

  /// Returns the counts that changed since they were last returned. Those of the current window are
  /// returned once a second; those of a window that has ended are returned once more in whole,
  /// because a connection may have lost them.
  std::vector<usage_entry> TakeChanges(milliseconds time);
  /// Makes the next `TakeChanges` return everything, for a new receiver.
  void MarkAllChanged();

 private:
  struct known_count {
    std::uint64_t count = 0;
    std::uint64_t taken = 0;
  };
  struct window_counts {
    std::map<incarnation, std::map<organisation_id, known_count>> counters;
    bool repeated = false;
  };

  milliseconds EndOf(std::uint64_t window) const;
  static void MarkChanged(window_counts& counts);
  void Raise(std::uint64_t window, const usage_entry& entry);

  const incarnation self_;
  const milliseconds window_;
  std::map<std::uint64_t, window_counts> windows_;
  /// When counts of the current window were last returned.
  milliseconds open_taken_at_{0};
};

}  // namespace waxwingwing
