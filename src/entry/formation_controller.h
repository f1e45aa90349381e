#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "entry/controller_election.h"
#include "entry/entry_state.h"
#include "entry/wakeable_pause.h"
#include "platform/order_client.h"
#include "waxwingwing/formation/group_planner.h"

namespace waxwingwing {

/// On the controller, keeps groups of backend servers formed: plans, sends orders and notes what
/// became of them.
class formation_controller {
 public:
  formation_controller(entry_context& entry, controller_election& election, order_client& orders);

  awaitable<void> Run();
  /// A group's streams stand still, here or at another VM.
  void OnStall(const server_group_id& group);
  /// Something changed that plans depend on.
  void Wake() { pause_.Wake(); }

 private:
  void Plan();
  awaitable<void> Carry(service_id service, formation_order order);
  group_planner& PlannerOf(const service_id& service);

  entry_context& entry_;
  controller_election& election_;
  order_client& orders_;
  wakeable_pause pause_;
  const time_point started_at_;
  std::map<service_id, group_planner> planners_;
  /// Epochs of this term are above it.
  std::uint64_t epoch_floor_ = 0;
  /// What was last logged as missing.
  std::map<service_id, std::string> shortages_;
  bool acting_ = false;
  bool busy_ = false;
};

}  // namespace waxwingwing
