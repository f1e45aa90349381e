#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"

namespace waxwingwing {

/// Keeps this VM's part of the work that is divided among all VMs, such as the rates of cold
/// servers, by the membership protocol of the store.
///
/// The store assigns partitions to the members and revokes those of silent ones. The more members
/// there are, the longer are the intervals of their renewals, so that the store gets the same
/// number of calls from deployments of all sizes. Use from one thread.
class work_membership {
 public:
  /// `on_answer` is called after each membership call to the store, successful or not.
  work_membership(entry_context& entry, store_client& store, std::string member,
                  std::function<void()> on_answer);

  /// Joins and renews the membership until shutdown.
  awaitable<void> Run();
  /// Ends the membership, so that others get this VM's part.
  awaitable<void> Leave();

  /// The partitions that the store's last answer assigned to this VM.
  const work_partitions& partitions() const { return partitions_; }
  /// Like `partitions`, but only those that no other VM uses: the store may reassign partitions
  /// without telling their previous holder, which learns of it by its next call.
  work_partitions ConfirmedPartitions() const;

 private:
  void Apply(const member_view& view, time_point sent_at);
  milliseconds RenewInterval() const;
  milliseconds Lifetime() const;

  entry_context& entry_;
  store_client& store_;
  const std::string member_;
  const std::function<void()> on_answer_;
  dependency_health health_;
  /// Number of the last change of the members that this VM knows of, and the store's era in which
  /// it counts.
  std::uint64_t generation_ = 0;
  std::optional<store_era> era_;
  work_partitions partitions_;
  /// When each held partition was first assigned to this VM.
  std::map<std::size_t, time_point> held_since_;
  /// Until when the store keeps the partitions for this VM without another call.
  std::optional<time_point> confirmed_until_;
};

}  // namespace waxwingwing
