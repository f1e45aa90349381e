#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "daemon/control_context.h"
#include "waxwingwing/admission/backend_limits.h"
#include "waxwingwing/membership/replica_assembly.h"
#include "waxwingwing/routing/routing_snapshot.h"

namespace waxwingwing {

/// A replica or a backend server of a plain service, with what it may hold over all entry VMs.
struct backend_unit {
  /// For plain services made from the VM id.
  replica_id key;
  model_group_id model_group;
  service_id service;
  waxwingwing::generation generation;
  /// Of the VM that takes requests.
  waxwingwing::incarnation incarnation;
  /// Changes when any member restarts; credits are bound to it.
  waxwingwing::incarnation joint_incarnation;
  vm_id vm;
  std::string address;
  failure_domain_id failure_domain;
  bool routable = false;
  backend_amount limit;
  request_count warm_requests;
  /// What the backend server reported to hold; lags.
  backend_amount reported;
  double ms_per_token = 0;
  time_point reported_at{};
};

/// Derives the backend units of all domains from configuration, VM list and reports.
class backend_catalog {
 public:
  explicit backend_catalog(control_context& context) : context_(context) {}

  /// An answer to a request carried an incarnation that no report has shown yet.
  void NoteIncarnation(const vm_id& vm, incarnation seen, milliseconds ready_for);

  /// Derives the units anew.
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
  /// Applies what answers showed to a member's report.
  void ReadMember(const vm_id& member, backend_unit& unit, milliseconds& ready_for) const;
  bool IsDraining(const assembled_replica& replica) const;
  bool IsDomainIn(const failure_domain_id& domain) const;

  control_context& context_;
  std::vector<assembled_replica> replicas_;
  std::vector<backend_unit> units_;
  std::map<vm_id, observed_start> observed_starts_;
};

}  // namespace waxwingwing
