#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/integration/vm_records.h"
#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing::integration {

/// How long the system may take to notice what it is not told.
struct partial_group_bounds {
  /// A member that stopped answering; 2 s report age and 0.5 s relay (section 5 of the design).
  milliseconds silent_member{2500};
  /// Configured members of each replica by model group; groups that are not named are not checked
  /// for their size.
  std::map<std::string, std::size_t> vms_per_replica;
};

/// P1: each request that a replica's leader took found every member assigned to the same replica
/// and generation, with its rank, ready and answering.
finding_list CheckPartialGroups(const std::vector<vm_records>& engines,
                                const partial_group_bounds& bounds = {});

/// P2: no two replicas (or generations) that share a VM took requests in overlapping periods, and
/// no engine obeyed an order with a fencing number below one that it had seen.
finding_list CheckDoubleMembership(const std::vector<vm_records>& engines);

/// P3: no server held more than it bears. Excess of requests within `cold_bound` after an engine
/// turned cold without a restart is allowed, since no answer has told of it yet.
finding_list CheckOverload(const std::vector<vm_records>& servers, milliseconds cold_bound);

/// P7: each idempotency key of an organisation ran at most once.
finding_list CheckRepeatedRuns(const std::vector<vm_records>& services);

/// P4 and P8: none of the VMs took a request or call after the point in time.
finding_list CheckNewWork(const std::vector<vm_records>& servers, const std::set<std::string>& vms,
                          std::int64_t after_us);

}  // namespace waxwingwing::integration
