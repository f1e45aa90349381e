#pragma once

#include <set>

#include "daemon/control_context.h"
#include "daemon/lease_controller.h"
#include "waxwingwing/groups/replica_planner.h"
#include "waxwingwing/platform/engine_client.h"

namespace waxwingwing {

/// Forms and repairs the replicas of this node's failure domain while this node holds the domain's
/// lease. Lists the replicas that it will release in `control_context::draining_replicas`. Runs on
/// the control thread.
class group_controller {
 public:
  group_controller(control_context& context, lease_controller& lease);

  void Start();

 private:
  boost::asio::awaitable<void> Loop();
  void Tick();
  void BeginTerm(time_point now);
  bool HasSurveyed(time_point now) const;
  bool MaySend(const replica_order& order, time_point now) const;
  boost::asio::awaitable<void> Send(replica_order order);

  control_context& context_;
  lease_controller& lease_;
  engine_client engines_;
  replica_planner planner_;
  planner_state state_;
  /// Fencing number of the lease term that `state_` belongs to.
  fencing_number term_;
  bool in_term_ = false;
  time_point term_began_{};
  std::set<vm_id> outstanding_;
};

}  // namespace waxwingwing
