#pragma once

#include <functional>
#include <optional>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"

namespace waxwingwing {

/// Elects the controller, the one VM that sends orders to backend servers, through the membership
/// protocol of the store.
///
/// The store assigns the controller's partition to one member at a time and revokes it from a
/// silent member. It may reassign partitions without notifying the previous holder. A holder
/// therefore trusts an answer only for a short time from when it sent the request, and a new holder
/// waits until every older answer has expired before it acts.
class controller_election {
 public:
  /// `on_answer` is called after each membership call to the store, successful or not.
  controller_election(entry_context& entry, store_client& store, std::string member,
                      std::function<void()> on_answer);

  /// Joins and renews the membership until shutdown.
  awaitable<void> Run();
  /// Stops acting as the controller at once and ends the membership, so that another VM can take
  /// over.
  awaitable<void> Leave();

  /// Whether this VM may send orders at this moment.
  bool IsController() const;
  /// Generation of the membership: increases with each change of the members and so distinguishes
  /// the terms of successive controllers.
  std::uint64_t generation() const { return generation_; }
  /// Whether the store has assigned the controller's partition to this VM, including the time
  /// before it may send orders.
  bool HoldsControllerRole() const { return held_since_.has_value(); }
  /// The partitions of the work that the store's last answer assigned to this VM.
  const work_partitions& partition_assignment() const { return partition_assignment_; }
  /// Like `partition_assignment`, but with no held partition once the store may have reassigned
  /// them to others.
  work_partitions ConfirmedAssignment() const;

 private:
  void Apply(const member_view& view, time_point sent_at);

  entry_context& entry_;
  store_client& store_;
  const std::string member_;
  const std::function<void()> on_answer_;
  dependency_health health_;
  std::uint64_t generation_ = 0;
  work_partitions partition_assignment_;
  std::optional<time_point> assignment_confirmed_at_;
  std::optional<time_point> held_since_;
  std::optional<time_point> trusted_until_;
};

}  // namespace waxwingwing
