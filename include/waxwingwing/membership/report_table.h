#pragma once

#include <map>
#include <optional>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/membership/backend_report.h"
#include "waxwingwing/membership/vm_entry.h"

namespace waxwingwing {

/// A report older than this is expired and confirms nothing about its backend server.
inline constexpr milliseconds kReportLifetime{2000};

/// Holds the newest report of each backend server, polled by this node or relayed by a peer.
///
/// Reports of one incarnation are ordered by sequence. Incarnations are random numbers, so reports
/// of different incarnations are ordered by the start time that they imply (`taken_at` less
/// uptime). Owned by the control thread.
class report_table {
 public:
  struct entry {
    backend_report report;
    /// When a connection to this incarnation failed; cleared by a report taken later.
    std::optional<time_point> suspected_at;
  };

  /// Stores `report` if it is newer than the held one; returns whether it was.
  bool Observe(const backend_report& report, time_point now);
  /// Removes the backend servers that are not in `vms`.
  void Retain(const std::vector<vm_entry>& vms);
  /// Records that a connection to the backend server failed. Ignored unless `seen` is its newest
  /// incarnation.
  void MarkSuspected(const vm_id& vm, incarnation seen, time_point now);

  /// The newest report, of any age; null when there is none.
  const backend_report* Find(const vm_id& vm) const;
  /// The newest report if it is at most `kReportLifetime` old; null otherwise.
  const backend_report* FindFresh(const vm_id& vm, time_point now) const;
  /// Time since the newest report was taken; empty when there is none.
  std::optional<milliseconds> Age(const vm_id& vm, time_point now) const;
  bool IsSuspected(const vm_id& vm) const;

  const std::map<vm_id, entry>& entries() const { return entries_; }

 private:
  static bool IsNewer(const backend_report& report, const backend_report& held, time_point now);

  std::map<vm_id, entry> entries_;
};

}  // namespace waxwingwing
