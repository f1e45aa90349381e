#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/directory/server_directory.h"
#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/formation/group_planner.h"

namespace waxwingwing {

/// Fault rates of a simulated deployment: probabilities per order, or per second.
struct formation_faults {
  /// Per order: it gets no answer and is not executed.
  double lost_order = 0;
  /// Per order: it is executed and its answer is lost.
  double lost_answer = 0;
  /// Per order: it gets no answer and is executed 2 to 12 s later.
  double late_order = 0;
  /// Per server and second: it crashes; half of the crashed servers restart under the same id.
  double crash = 0;
  /// Per server and second: it cannot reach the VM list for 5 s.
  double list_partition = 0;
  /// Per server and second: the VM list and the controller cannot reach it for 8 s; it is sound,
  /// and other VMs and servers reach it.
  double controller_partition = 0;
  /// Per server and second: its whole fabric domain is partitioned for 6 s.
  double domain_partition = 0;
  /// Per second: the controller is replaced by a new one without state.
  double controller_change = 0;
};

/// Simulation of backend servers, the VM list and a controller, advanced in steps of 20 ms without
/// a network.
///
/// Checks at every opening and join that no group runs before all of its members have been ready in
/// it, and that no server joins another group while the head of its group accepts requests.
class formation_simulation {
 public:
  formation_simulation(std::vector<model_settings> models, std::size_t fabrics,
                       std::size_t servers_each, std::uint64_t seed);

  void SetFaults(const formation_faults& faults) { faults_ = faults; }
  /// Advances the simulation by `time`.
  void Run(duration time);

  /// Crashes a server; with a probability of one half it restarts after 5 s.
  void Crash(const backend_server_id& id);
  /// Crashes a server that never restarts.
  void CrashPermanently(const backend_server_id& id);
  /// Marks a server as draining in its registration.
  void Drain(const backend_server_id& id);
  /// Makes a server answer nothing for `time`; it is sound and goes on afterwards.
  void Silence(const backend_server_id& id, duration time);
  void PartitionFromList(const backend_server_id& id, duration time);
  /// Cuts a server off from the VM list and the controller; other VMs still reach it.
  void PartitionFromController(const backend_server_id& id, duration time);
  void PartitionFabric(const fabric_domain_id& fabric, duration time);
  /// Replaces the controller; orders of the old one that are in flight still arrive.
  void ReplaceController();
  /// Reports to the controller that the group's streams have stalled.
  void ReportStall(const server_group_id& group);

  /// Number of groups by model that accept requests and have all of their members.
  std::map<std::string, std::size_t> ServingGroups() const;
  /// The members of an open group of `model`, head first; empty when there is none.
  std::vector<backend_server_id> MembersOfGroup(const std::string& model) const;
  server_group_id GroupOf(const backend_server_id& id) const;
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t joins_from_store() const { return joins_from_store_; }
  std::uint64_t orders() const { return orders_; }
  time_point now() const { return now_; }

 private:
  struct simulated_server {
    backend_server registration;
    bool alive = true;
    bool opening = false;
    std::uint64_t highest_epoch = 0;
    std::vector<backend_server_id> members;
    std::optional<time_point> ready_at;
    std::optional<time_point> open_at;
    std::optional<time_point> stalled_since;
    std::optional<time_point> list_partition_until;
    std::optional<time_point> unregistered_at;
    std::optional<time_point> restart_at;
    time_point silent_until{};
    std::optional<time_point> closed_at;
    bool dirty = true;
  };
  struct pending_order {
    formation_order order;
    time_point due;
    /// Whether its answer reaches the controller that sent it.
    bool answered = true;
    std::uint64_t term = 0;
    bool executed = true;
  };

  void Step();
  void AdvanceServers();
  void AdvanceGroup(simulated_server& head);
  void PublishRegistrations();
  void InjectFaults();
  void Deliver();
  void Plan();
  void Answer(const pending_order& pending, order_outcome outcome);
  order_outcome Execute(const formation_order& order);
  order_outcome Join(simulated_server& server, const formation_order& order);
  void CheckJoin(const simulated_server& server, const formation_order& order);
  void CheckOpen(const simulated_server& head);
  bool IsComplete(const simulated_server& head) const;
  bool IsPartitioned(const simulated_server& server) const;
  bool Happens(double probability) { return random_.Fraction() < probability; }

  service_settings service_;
  server_directory directory_;
  std::optional<group_planner> planner_;
  random_source random_;
  formation_faults faults_;
  time_point now_;
  std::uint64_t term_ = 1;
  std::map<backend_server_id, simulated_server> servers_;
  std::map<fabric_domain_id, time_point> fabric_partition_until_;
  bool partitions_refuse_ = false;
  std::vector<pending_order> pending_;
  /// Servers that have ever been ready in a group and epoch.
  std::map<std::pair<server_group_id, std::uint64_t>, std::set<backend_server_id>> ready_in_;
  std::vector<std::string> violations_;
  std::uint64_t joins_from_store_ = 0;
  std::uint64_t orders_ = 0;
};

}  // namespace waxwingwing
