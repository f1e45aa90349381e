#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/dispatch/cold_limits.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/dispatch/server_load.h"
#include "waxwingwing/dispatch/server_requests.h"

namespace waxwingwing {

/// Why no server was selected.
enum class selection_failure {
  kNone,
  /// No server of the service, or no group of the model, is known.
  kNoServer,
  /// All were tried, failed recently or stand still.
  kAllSuspended,
  /// All have as many requests as they can start in time.
  kAllFull,
};

const char* NameOf(selection_failure failure);

/// Bounds that the selection keeps.
struct selection_options {
  /// Requests of this VM at one plain server whose answer has not begun, per slot of the server.
  double waiting_per_slot = 0.5;
  /// Added to the load of servers in other failure domains, as requests per slot: latency and
  /// traffic between domains cost a little.
  double other_domain_load = 0.02;
};

/// Chooses the backend server for a request by the load that this VM knows of.
class server_selection {
 public:
  server_selection(selection_options options, failure_domain_id own_domain, random_source random);

  /// This VM's parts of the limits that all VMs share.
  void SetParts(const work_parts& parts);

  /// A candidate that is not in `excluded`; null with the reason in `failure` when there is none.
  const dispatch_candidate* Select(const std::vector<dispatch_candidate>& candidates,
                                   const std::set<backend_server_id>& excluded, time_point now,
                                   selection_failure& failure);
  /// Whether `Select` would find a server; takes nothing from the cold servers' rates.
  bool HasOther(const std::vector<dispatch_candidate>& candidates,
                const std::set<backend_server_id>& excluded, time_point now);

  /// This VM's requests at each server that has any.
  server_requests OwnRequests() const;
  /// The requests of all other VMs at each server; servers left out have none.
  void SetOtherRequests(const server_requests& requests, time_point now);

  server_load& LoadOf(const backend_server_id& server) { return loads_[server]; }
  /// Forgets servers that `is_known` denies and that have no request.
  void Prune(const std::function<bool(const backend_server_id&)>& is_known);

 private:
  bool IsWithinColdRate(const dispatch_candidate& candidate, time_point now);
  /// The least loaded of some of the servers; reorders `usable`, which must not be empty.
  const dispatch_candidate* LeastLoaded(std::vector<const dispatch_candidate*>& usable,
                                        time_point now);
  bool IsFull(const dispatch_candidate& candidate, const server_load& load) const;
  double ScoreOf(const dispatch_candidate& candidate, const server_load& load, time_point now);

  /// Requests that this VM may have at a group of which it knows nothing yet.
  double FirstWindow(const dispatch_candidate& candidate) const;

  const selection_options options_;
  const failure_domain_id own_domain_;
  random_source random_;
  /// This VM's part of all VMs as it was last confirmed; 0 before that.
  double share_ = 0;
  std::map<backend_server_id, server_load> loads_;
  cold_limits cold_;
};

}  // namespace waxwingwing
