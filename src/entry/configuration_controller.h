#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "entry/operators_snapshot.h"
#include "entry/operators_view.h"
#include "platform/store_client.h"
#include "waxwingwing/platform/wakeable_pause.h"

namespace waxwingwing {

/// Follows the operators' records in the store and applies them to the entry state: the traffic
/// configuration and the evacuated failure domains. Use from one thread.
///
/// The controller reads them at short intervals and tells the other VMs whether there is a newer
/// record. Records are passed on from VM to VM: a configuration can be large, and if all VMs read
/// it from the store at once, it arrives nowhere in time. A VM that gets none, or has not heard of
/// the controller for long, reads as if it were alone.
class configuration_controller {
 public:
  struct hooks {
    /// Whether this VM reads for the others.
    std::function<bool()> is_controller;
    /// Called after each change of the configuration or the evacuated domains.
    std::function<void()> on_change;
    /// Called after more records are known, so that they are passed on.
    std::function<void()> on_records;
    /// Asks the VM that this one follows for the records that follow a place, or for all; returns
    /// false when there is none to ask.
    std::function<bool(const std::optional<store_position>&)> request;
  };

  configuration_controller(entry_context& entry, store_client& store, hooks hooks);

  /// Reads until shutdown; during shutdown it continues while a configuration is loaded.
  awaitable<void> Run();
  /// What this VM knows of the records.
  operators_view View() const;
  /// Applies what the controller knows of the records.
  void OnControllerView(const operators_view& view);
  /// Applies records that the VM which this one follows has passed on.
  void OnUpdate(const operators_update& update);
  /// The records that another VM lacks, to be passed on to it.
  const operators_snapshot& snapshot() const { return snapshot_; }

 private:
  /// Gets records that the controller knows and this VM does not: from the VM that it follows, or
  /// from the store when that takes too long.
  awaitable<bool> CatchUp();
  /// Asks the VM that this one follows, unless it was asked just now.
  bool RequestUpdate();
  void SetBehind();
  /// Records that this VM knows the records up to `next`, and passes them on.
  void Advance(store_position next);
  /// Reads the newest record of each key. Returns false when the read must be retried after a
  /// pause.
  awaitable<bool> ReadAll();
  /// Reads the records that follow `position_`. Returns false when the store did not answer.
  awaitable<bool> ReadUpdates(milliseconds wait);
  /// Records that the known records were the newest at `at`, or at `earliest` if messages took
  /// long.
  void Confirm(time_point at, time_point earliest);
  /// Notices that the store was restored since the last read.
  void RecordEra(store_era era, time_point now);
  /// Whether the store was restored so long ago that the operators have written again what was
  /// lost, but not all records have been read since.
  bool IsCompleteReadDue() const;
  /// Whether a read shows that the known records are the newest. After a restore the store may lack
  /// what the operators write again.
  bool MayConfirm() const;
  /// Whether the last confirmation is too old to wait for one by the controller.
  bool IsReadDue() const;
  /// Logs records that have arrived, with when they were asked for.
  void LogRecords(std::string_view source, const std::vector<store_record>& records,
                  std::uint64_t from, store_position next,
                  std::optional<time_point> asked_at) const;
  /// Applies records; `is_complete` when domains without a record are not evacuated.
  void Apply(const std::vector<store_record>& records, bool is_complete);
  void ApplyConfiguration(const std::string& text);

  entry_context& entry_;
  store_client& store_;
  const hooks hooks_;
  /// Longest wait of a read on a VM that reads for itself, and on the controller.
  const milliseconds read_wait_;
  const milliseconds controller_wait_;
  /// Age of a confirmation at which a VM reads for itself.
  const duration read_age_;
  /// How long a VM waits for records to be passed on before it reads them from the store.
  const duration pass_on_limit_;
  wakeable_pause pause_;
  /// Since when there are records that this VM does not know, and has got none.
  std::optional<time_point> behind_since_;
  std::optional<time_point> requested_at_;
  operators_snapshot snapshot_;
  /// The place after the newest record that is known to be in the store.
  std::optional<store_position> announced_;
  dependency_health health_;
  std::optional<store_position> position_;
  std::optional<store_era> era_;
  /// When the first answer of the era was read, until all records have been read later on.
  std::optional<time_point> restored_at_;
  /// While `restored_at_` is set, no read confirms anything before this time.
  time_point confirms_from_{};
  /// Version of the newest configuration that the store has shown in this era.
  std::uint64_t stored_version_ = 0;
  /// Whether the newest configuration of the store cannot be read.
  bool is_newest_unreadable_ = false;
  std::set<failure_domain_id> evacuated_;
};

}  // namespace waxwingwing
