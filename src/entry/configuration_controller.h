#pragma once

#include <functional>
#include <set>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"

namespace waxwingwing {

/// Follows the operators' records in the store and applies them to the entry state: the traffic
/// configuration and the evacuated failure domains. Use from one thread.
///
/// `on_change` is called after each change of either.
class configuration_controller {
 public:
  configuration_controller(entry_context& entry, store_client& store,
                           std::function<void()> on_change);

  /// Reads until shutdown; during shutdown it continues while a configuration is loaded.
  awaitable<void> Run();

 private:
  /// Reads the newest record of each key. Returns false when the read must be retried after a
  /// pause.
  awaitable<bool> ReadAll();
  /// Reads the records that follow `offset_`. Returns false when the store did not answer.
  awaitable<bool> ReadUpdates();
  /// Applies records; `is_snapshot` when the page holds all keys and not only changes.
  void Apply(const store_page& page, bool is_snapshot);
  void ApplyConfiguration(const std::string& text);

  entry_context& entry_;
  store_client& store_;
  const std::function<void()> on_change_;
  const milliseconds read_wait_;
  dependency_health health_;
  std::optional<std::uint64_t> offset_;
  std::set<failure_domain_id> evacuated_;
};

}  // namespace waxwingwing
