#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "entry/controller_election.h"
#include "entry/entry_state.h"
#include "platform/order_client.h"
#include "waxwingwing/formation/group_planner.h"
#include "waxwingwing/platform/wakeable_pause.h"

namespace waxwingwing {

/// Forms and disbands groups of backend servers while this VM is the controller: plans changes,
/// sends orders and records their outcomes. Use from one thread.
class formation_controller {
 public:
  formation_controller(entry_context& entry, controller_election& election, order_client& orders);

  awaitable<void> Run();
  /// Records that the streams of a group have stalled, on this VM or another one.
  void OnStall(const server_group_id& group);
  /// Plans again at once, because an input of the planner has changed.
  void Wake() { pause_.Wake(); }

 private:
  void Plan();
  /// Logs the groups whose members were released, with the reason.
  void LogReleases(const service_id& service, const std::vector<group_release>& releases);
  /// Sends one order or probe and records its outcome with the service's planner.
  awaitable<void> SendOrder(service_id service, formation_order order);
  group_planner& PlannerOf(const service_id& service);

  entry_context& entry_;
  controller_election& election_;
  order_client& orders_;
  wakeable_pause pause_;
  const time_point started_at_;
  std::map<service_id, group_planner> planners_;
  /// The term in which the planners' state was built up.
  std::uint64_t term_ = 0;
  /// Epochs assigned in the current term are greater than this.
  std::uint64_t epoch_floor_ = 0;
  /// The shortage last logged for each service.
  std::map<service_id, std::string> shortages_;
  bool acting_ = false;
  bool busy_ = false;
};

}  // namespace waxwingwing
