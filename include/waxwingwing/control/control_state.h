#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "waxwingwing/config/configuration_state.h"
#include "waxwingwing/config/release_note_verdict.h"
#include "waxwingwing/control/control_record.h"
#include "waxwingwing/core/append_window.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// The latest valid lease of a failure domain.
struct domain_lease {
  vm_id vm;
  waxwingwing::incarnation incarnation;
  /// Offset of the first record of the term.
  fencing_number fencing;
  /// Offset and append id of the latest record of the term.
  log_offset offset;
  append_id record;
  milliseconds duration = kLeaseDuration;
  bool released = false;

  bool operator==(const domain_lease&) const = default;
};

/// The owner of a roster slot.
struct roster_slot {
  vm_id vm;
  waxwingwing::incarnation incarnation;
  std::string peer_address;
  /// Offset of the record that gave the slot to its owner.
  log_offset offset;

  bool operator==(const roster_slot&) const = default;
};

/// Slot index to owner; free slots are absent.
using domain_roster = std::map<std::uint32_t, roster_slot>;

/// Number of records by the result of applying them.
struct control_counters {
  std::uint64_t applied = 0;
  /// Well-formed records whose precondition did not hold, and refused release notes.
  std::uint64_t refused = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t malformed = 0;

  bool operator==(const control_counters&) const = default;
};

enum class apply_result {
  kApplied,
  kRefused,
  kDuplicate,
  kMalformed,
  /// The record is not the next one; nothing changed.
  kWrongOffset,
};

enum class snapshot_result { kLoaded, kOlderThanState, kMalformed };

/// State after a prefix of the control stream: configuration, verdicts, leases and rosters.
///
/// A pure function of the records, whether they were applied one by one or loaded from a snapshot.
class control_state {
 public:
  /// Maximum number of verdicts kept; the oldest are dropped first.
  static constexpr std::size_t kMaxVerdicts = 4096;

  /// Applies the record at `offset`, which must be `next_offset()`. `payload` is JSON text.
  apply_result Apply(log_offset offset, const append_id& id, std::string_view payload);

  /// Replaces the state unless the snapshot is older.
  snapshot_result LoadSnapshot(std::string_view text);
  /// JSON text of the whole state.
  std::string ToSnapshot() const;

  /// Offset of the next record to apply.
  log_offset next_offset() const { return next_offset_; }
  const configuration& objects() const { return configuration_.objects; }
  const control_counters& counters() const { return counters_; }
  const std::map<failure_domain_id, domain_lease>& leases() const { return leases_; }
  /// Domains without an owned slot are absent.
  const std::map<failure_domain_id, domain_roster>& rosters() const { return rosters_; }

  /// Null when the note is unknown or its verdict no longer kept.
  const release_note_verdict* FindVerdict(const note_id& note) const;
  /// Null when the domain never had a lease.
  const domain_lease* FindLease(const failure_domain_id& failure_domain) const;

 private:
  bool ApplyRecord(const release_note_record& record, const append_id& id);
  bool ApplyRecord(const lease_record& record, const append_id& id);
  bool ApplyRecord(const roster_record& record, const append_id& id);
  apply_result ApplyNext(const append_id& id, std::string_view payload);
  const roster_slot* FindSlot(const roster_record& record) const;
  void Count(apply_result outcome);
  void KeepVerdict(release_note_verdict verdict);

  log_offset next_offset_;
  configuration_state configuration_;
  std::map<failure_domain_id, domain_lease> leases_;
  std::map<failure_domain_id, domain_roster> rosters_;
  std::map<note_id, release_note_verdict> verdicts_;
  /// Ids of the kept verdicts, oldest first.
  std::deque<note_id> verdict_order_;
  append_window recent_appends_;
  control_counters counters_;

  friend class control_snapshot;
};

}  // namespace waxwingwing
