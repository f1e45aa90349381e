#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "daemon/control_context.h"
#include "waxwingwing/admission/backend_limits.h"
#include "waxwingwing/membership/replica_assembly.h"
#include "waxwingwing/routing/routing_snapshot.h"

namespace waxwingwing {

/// A replica or a backend server of a plain service, with its capacity for requests of all entry
/// VMs together.
struct backend_unit {
  /// The replica's id; for a plain service, derived from the VM id.
  replica_id key;
  model_group_id model_group;
  service_id service;
  waxwingwing::generation generation;
  /// The incarnation of the VM that takes requests.
  waxwingwing::incarnation incarnation;
  /// Combines the incarnations of all members, so that it changes when any of them restarts.
  /// Credits are valid for one value of it only.
  waxwingwing::incarnation combined_incarnation;
  vm_id vm;
  std::string address;
  failure_domain_id failure_domain;
  bool routable = false;
  backend_amount limit;
  request_count warm_requests;
  /// The load in the backend server's latest report, which lags behind its present load.
  backend_amount reported;
  double ms_per_token = 0;
  time_point reported_at{};
};

/// Derives the backend units of all failure domains from the configuration, the VM list and the
/// backend servers' reports. Used on the control thread only.
class backend_catalog {
 public:
  explicit backend_catalog(control_context& context) : context_(context) {}

  /// Records an incarnation from a backend server's response that no report has shown yet; it
  /// counts as ready for `ready_for`. A later report of the server replaces it.
  void RecordIncarnation(const vm_id& vm, incarnation seen, milliseconds ready_for);

  /// Derives all units and replicas again.
  void Refresh(time_point now);

  const std::vector<backend_unit>& units() const { return units_; }
  const std::vector<assembled_replica>& replicas() const { return replicas_; }
  const backend_unit* Find(const replica_id& key) const;

 private:
  struct observed_start {
    incarnation seen;
    milliseconds ready_for;
    time_point at;
  };

  void AddReplica(const assembled_replica& replica);
  void AddService(const vm_entry& vm, time_point now);
  /// Adds a member's incarnation and ready time to `unit` and `ready_for`, from its report or from
  /// a newer incarnation that a response showed.
  void ApplyMemberReport(const vm_id& member, backend_unit& unit, milliseconds& ready_for) const;
  bool IsDraining(const assembled_replica& replica) const;
  bool IsDomainIn(const failure_domain_id& domain) const;

  control_context& context_;
  std::vector<assembled_replica> replicas_;
  std::vector<backend_unit> units_;
  std::map<vm_id, observed_start> observed_starts_;
};

}  // namespace waxwingwing
