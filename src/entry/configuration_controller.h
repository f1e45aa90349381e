#pragma once

#include <functional>
#include <set>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "entry/operators_view.h"
#include "platform/store_client.h"
#include "waxwingwing/platform/wakeable_pause.h"

namespace waxwingwing {

/// Follows the operators' records in the store and applies them to the entry state: the traffic
/// configuration and the evacuated failure domains. Use from one thread.
///
/// The controller reads them at short intervals and tells the other VMs that there is no newer
/// record, or that there is one, which they then read themselves. A VM that has not heard of that
/// for long reads as if it were alone.
class configuration_controller {
 public:
  /// `is_controller`: whether this VM reads for the others; `on_change` is called after each change
  /// of the configuration or the evacuated domains.
  configuration_controller(entry_context& entry, store_client& store,
                           std::function<bool()> is_controller, std::function<void()> on_change);

  /// Reads until shutdown; during shutdown it continues while a configuration is loaded.
  awaitable<void> Run();
  /// What this VM knows of the records.
  operators_view View() const;
  /// Applies what the controller knows of the records.
  void OnControllerView(const operators_view& view);

 private:
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
  void LogRecords(const store_page& page, std::uint64_t from, time_point asked_at) const;
  /// Applies records; `is_complete` when domains without a record are not evacuated.
  void Apply(const store_page& page, bool is_complete);
  void ApplyConfiguration(const std::string& text);

  entry_context& entry_;
  store_client& store_;
  const std::function<bool()> is_controller_;
  const std::function<void()> on_change_;
  /// Longest wait of a read on a VM that reads for itself, and on the controller.
  const milliseconds read_wait_;
  const milliseconds controller_wait_;
  /// Age of a confirmation at which a VM reads for itself.
  const duration read_age_;
  wakeable_pause pause_;
  /// Whether the controller knows of records that this VM has not read.
  bool is_behind_ = false;
  /// The place after the newest record of which the controller has told, for log lines.
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
