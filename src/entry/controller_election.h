#pragma once

#include <functional>
#include <optional>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"

namespace waxwingwing {

/// Whether this VM is the one that orders backend servers.
///
/// The store gives the controller's part to one member at a time and takes it from one that is
/// silent. It may deal the parts anew without telling the old holder, so a holder trusts an answer
/// only for a short time from when it asked, and a new holder waits until every older answer is
/// out of date before it acts.
class controller_election {
 public:
  /// `on_answer` is called after each call to the store, answered or not.
  controller_election(entry_context& entry, store_client& store, std::string member,
                      std::function<void()> on_answer);

  awaitable<void> Run();
  awaitable<void> Leave();

  /// Whether this VM may send orders at this moment.
  bool IsController() const;
  /// Rises with each change of the members; separates the terms of controllers.
  std::uint64_t generation() const { return generation_; }
  /// Whether the store has given the controller's part to this VM, also before it may act.
  bool HoldsController() const { return held_since_.has_value(); }
  /// The parts of the work that this VM held when the store last said so.
  const work_parts& parts() const { return parts_; }
  /// The same, and none when others may hold them by now.
  work_parts ConfirmedParts() const;

 private:
  void Apply(const member_view& view, time_point sent_at);

  entry_context& entry_;
  store_client& store_;
  const std::string member_;
  const std::function<void()> on_answer_;
  dependency_health health_;
  std::uint64_t generation_ = 0;
  work_parts parts_;
  std::optional<time_point> parts_confirmed_at_;
  std::optional<time_point> held_since_;
  std::optional<time_point> trusted_until_;
};

}  // namespace waxwingwing
