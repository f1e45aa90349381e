#pragma once

#include <string>
#include <vector>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/membership/backend_report.h"
#include "waxwingwing/membership/report_table.h"
#include "waxwingwing/membership/vm_entry.h"

namespace waxwingwing {

/// Why a replica does not serve.
enum class replica_fault {
  kNone,
  /// No report of the member of rank 0 confirms the replica.
  kNoLeader,
  /// A member is not on the VM list as an engine.
  kMemberNotListed,
  kMemberSilent,
  /// A member reports another replica, generation, rank or member list, or none.
  kMemberDisagrees,
  kMemberNotReady,
  kMemberLeaving,
  /// A connection to a member failed since its last report.
  kMemberSuspected,
  kDomainOut,
  kModelGroupNotConfigured,
};

/// A replica as reconstructed from the reports of its members.
struct assembled_replica {
  replica_id replica;
  model_group_id model_group;
  waxwingwing::generation generation;
  /// Domain of the leader; empty when the leader is not on the VM list.
  failure_domain_id failure_domain;
  /// The member of rank 0.
  vm_id leader;
  std::string leader_address;
  /// In rank order.
  std::vector<vm_id> members;
  /// `kNone` exactly when the replica serves.
  replica_fault fault = replica_fault::kNone;

  bool serving() const { return fault == replica_fault::kNone; }
};

/// Every replica that a report mentions, by id.
///
/// Of several generations of a replica the highest one that serves is given, else the highest. A
/// replica serves only when every member that its leader names confirms it by a fresh report of its
/// own; since a VM has one newest report, it counts for one serving replica at most.
std::vector<assembled_replica> AssembleReplicas(const report_table& reports,
                                                const std::vector<vm_entry>& vms,
                                                const configuration& config, time_point now);

const char* ToText(replica_fault fault);

}  // namespace waxwingwing
