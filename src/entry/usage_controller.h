#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "entry/dependency_health.h"
#include "entry/duty_channel.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"
#include "waxwingwing/duty/true_time.h"
#include "waxwingwing/duty/usage_ledger.h"
#include "waxwingwing/duty/usage_table.h"

namespace waxwingwing {

/// Counts the requests that begin to run, by organisation and window, and, on the holder of the
/// duty, fixes the report of each window in the store and sends it to the platform. Use from one
/// thread.
class usage_controller {
 public:
  usage_controller(entry_context& entry, store_client& store, duty_channel& duties);

  awaitable<void> Run();
  /// Counts a request that has begun to run at this VM.
  void OnRequestBegun(const organisation_id& organisation);
  /// Adds the counts of VMs that follow this one.
  void OnEntries(const std::vector<usage_entry>& entries);
  /// Returns the counts that changed since the last call, or all of them for a new receiver.
  std::vector<usage_entry> TakeChanges(bool for_new_receiver);
  /// Records that the answers of the store state a higher era.
  void OnEra(store_era era);

 private:
  /// The estimate of the time since the start of 1970.
  milliseconds Time() const;
  void ObserveTime();
  awaitable<void> Step();
  awaitable<void> Read();
  awaitable<void> Fix(usage_action action);
  awaitable<void> SendReport(std::uint64_t window);
  void LogAbandoned();

  entry_context& entry_;
  store_client& store_;
  duty_channel& duties_;
  true_time time_;
  time_point time_observed_at_{};
  usage_table table_;
  usage_ledger ledger_;
  dependency_health store_health_;
  dependency_health platform_health_;
};

}  // namespace waxwingwing
