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
  /// Reads the records that follow `offset_`. Returns false when the store did not answer.
  awaitable<bool> ReadUpdates(milliseconds wait);
  /// Records that the known records were the newest at `at`, or at `earliest` if messages took
  /// long.
  void Confirm(time_point at, time_point earliest);
  /// Whether the last confirmation is too old to wait for one by the controller.
  bool IsReadDue() const;
  /// Applies records; `is_snapshot` when the page holds all keys and not only changes.
  void Apply(const store_page& page, bool is_snapshot);
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
  dependency_health health_;
  std::optional<std::uint64_t> offset_;
  std::set<failure_domain_id> evacuated_;
};

}  // namespace waxwingwing
