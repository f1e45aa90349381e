#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingwing/core/store_position.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/duty/duty_call.h"

namespace waxwingwing {

/// The report of a window as the store keeps it: nobody sends another one for this window.
struct usage_record {
  std::uint64_t window = 0;
  /// Offset of the record, which is written on the condition that the stream ends there.
  std::uint64_t offset = 0;
  std::string body;

  std::string Encode() const;
  /// Empty when the text is not a record.
  static std::optional<usage_record> Decode(std::string_view text);
};

struct usage_ledger_options {
  /// Length of a window, and time after its end by which its report is due.
  milliseconds window{5000};
  milliseconds due{10000};
  /// Time after the end of a window at which its report is fixed; the counts of the other VMs
  /// arrive in it.
  milliseconds settle{3000};
  /// Time after the end of a window after which its report is no longer sent.
  milliseconds give_up{15000};
  /// Pause after a failed call; doubles up to `longest_pause` for the platform's interface.
  milliseconds pause{250};
  milliseconds longest_pause{2000};
};

enum class usage_step {
  kWait,
  /// Read all records.
  kRead,
  /// Append a record for `window` at `offset`.
  kFix,
  /// Send the body of `window` to the platform.
  kSend,
};

struct usage_action {
  usage_step step = usage_step::kWait;
  std::uint64_t window = 0;
  std::uint64_t offset = 0;
};

/// Decides which usage report the holder of the duty fixes or sends next, such that no two
/// different reports for a window are ever sent.
///
/// A report is first fixed by a record in the store, appended on the condition that the holder
/// knows all records; windows are fixed in ascending order. Only bytes of which the store has
/// confirmed the record are sent, and a further holder sends the same bytes again. A restore of the
/// store may lose records; windows that began before this VM saw the new era are then neither fixed
/// nor read from it, so that some are not reported. All times are since the start of 1970. Use from
/// one thread.
class usage_ledger {
 public:
  explicit usage_ledger(const usage_ledger_options& options) : options_(options) {}

  /// Records that the answers of the store state `era`, and whether they state any.
  void ObserveEra(store_era era, milliseconds time);
  /// Records that this VM is the holder in `term`; in a new term the records are read again.
  void Hold(std::uint64_t term);
  usage_action Next(milliseconds time) const;

  /// Records the outcome of a read: all records and the end of the stream.
  void RecordRead(store_era era, std::uint64_t end, const std::vector<usage_record>& records,
                  milliseconds time);
  /// Records that a read failed, or that the outcome of an append is not known.
  void RecordStoreFailure(milliseconds time);
  /// Records that the store has appended a record which `Next` asked for, or refused it.
  void RecordAppended(const usage_record& record, store_era era);
  void RecordConflict() { unknown_ = true; }
  void RecordSent(std::uint64_t window, duty_outcome outcome, milliseconds time);

  const std::string& BodyOf(std::uint64_t window) const { return reports_.at(window).body; }
  /// Returns and forgets the windows whose report was given up.
  std::vector<std::uint64_t> TakeAbandoned(milliseconds time);
  /// The first window whose counts may still be needed.
  std::uint64_t OldestOpen(milliseconds time) const;
  /// Offset at which the next record is appended, as last read.
  std::uint64_t end() const { return end_; }

 private:
  struct report {
    std::string body;
    bool accepted = false;
    std::uint64_t attempts = 0;
  };

  milliseconds StartOf(std::uint64_t window) const;
  milliseconds EndOf(std::uint64_t window) const { return StartOf(window + 1); }
  bool IsGivenUp(std::uint64_t window, milliseconds time) const {
    return EndOf(window) + options_.give_up <= time;
  }
  /// The window that is to be fixed next, if any.
  std::optional<std::uint64_t> Unfixed(milliseconds time) const;
  /// The window whose report is to be sent next, if any.
  std::optional<std::uint64_t> Unsent(milliseconds time) const;
  /// Whether no record of an earlier era can have fixed the window.
  bool IsOfEra(std::uint64_t window) const { return StartOf(window) >= era_seen_at_; }

  usage_ledger_options options_;
  std::uint64_t term_ = 0;
  /// Whether the records must be read before anything else.
  bool unknown_ = true;
  store_era era_;
  /// Era of the last read, to which the end belongs.
  store_era read_era_;
  milliseconds era_seen_at_{0};
  std::uint64_t end_ = 0;
  std::optional<std::uint64_t> newest_fixed_;
  /// Reports that the store has confirmed.
  std::map<std::uint64_t, report> reports_;
  milliseconds no_store_before_{0};
  milliseconds no_call_before_{0};
  milliseconds call_pause_{0};
};

}  // namespace waxwingwing
