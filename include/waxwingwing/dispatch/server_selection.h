#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/dispatch/server_load.h"
#include "waxwingwing/dispatch/server_notices.h"
#include "waxwingwing/dispatch/server_requests.h"
#include "waxwingwing/dispatch/shared_rate_limits.h"
#include "waxwingwing/dispatch/subset_sizes.h"
#include "waxwingwing/work/first_event_estimate.h"

namespace waxwingwing {

/// Why no server was selected.
enum class selection_failure {
  kNone,
  /// No server of the service, or no group of the model, is known.
  kNoServer,
  /// All were tried already, failed recently, are stalled or leave.
  kAllSuspended,
  /// No server is usable, and at least one wants no requests for a time.
  kAllResting,
  /// All have as many requests as they can start in time, or have reached their cold rate.
  kAllFull,
};

const char* NameOf(selection_failure failure);

/// A condition that keeps a server from being selected.
struct server_exclusion {
  /// Name of the condition, for log lines.
  const char* reason = "";
  /// Why no server was selected, if it applies to all of them.
  selection_failure failure = selection_failure::kNone;
  /// When the condition ends; `time_point::max()` when that is not known.
  time_point until{};
};

/// What a request is expected to cost. Groups are compared by their expected times when both are
/// known, and by their numbers of requests otherwise.
struct selection_work {
  const engine_profile* engine = nullptr;
  const request_cost* cost = nullptr;

  bool IsKnown() const { return engine != nullptr && cost != nullptr; }
};

/// Limits and weights of a `server_selection`.
struct selection_options {
  /// Limit of this VM's requests at one plain server whose answer has not begun, per slot of the
  /// server.
  double waiting_per_slot = 0.5;
  /// Added to the load of servers in other failure domains, in requests per slot, to account for
  /// the small cost of latency and traffic between domains.
  double other_domain_load = 0.02;
};

/// Load balancer: selects the backend server for a request by this VM's own requests and those that
/// other VMs reported.
class server_selection {
 public:
  server_selection(selection_options options, failure_domain_id own_domain, random_source random);

  /// Sets this VM's partitions of the limits that all VMs share.
  void SetPartitions(const work_partitions& partitions);

  /// Returns a usable candidate that is not in `excluded`, and consumes its cold rate; returns null
  /// and sets `failure` to the reason when there is none. Candidates beyond this VM's subset, which
  /// comes first, are used only when none of the subset is usable.
  const dispatch_candidate* Select(const std::vector<dispatch_candidate>& candidates,
                                   const std::set<backend_server_id>& excluded, time_point now,
                                   selection_failure& failure, const selection_work& work = {});
  /// Expected time to the first event of a request that is sent to the group now. `work` must be
  /// known.
  fractional_milliseconds ExpectedFirstEventAt(const dispatch_candidate& group,
                                               const selection_work& work, time_point now);
  /// Whether `Select` would find a server; does not consume the rates of cold servers.
  bool CanSelect(const std::vector<dispatch_candidate>& candidates,
                 const std::set<backend_server_id>& excluded, time_point now,
                 const selection_work& work = {});

  /// When the first of the candidates that are not in `excluded` becomes usable, as far as that is
  /// known; `time_point::max()` when it is known of none.
  time_point AvailableAt(const std::vector<dispatch_candidate>& candidates,
                         const std::set<backend_server_id>& excluded, time_point now);

  /// The conditions that exclude candidates now, each with their number, for log lines.
  std::string DescribeExclusions(const std::vector<dispatch_candidate>& candidates,
                                 const std::set<backend_server_id>& excluded, time_point now);
  /// The first condition that excludes the server now, other than that it was tried already.
  std::optional<server_exclusion> ExclusionOf(const dispatch_candidate& candidate, time_point now);

  /// Records what a server has stated about itself in a response.
  server_notices::changes RecordNotice(const dispatch_candidate& server,
                                       const server_notice& notice, time_point now);
  /// What servers have stated about the rates of requests that they take from all VMs together, for
  /// the other VMs, and their statements for this one.
  std::vector<rate_limit_statement> RateLimits(time_point now) const {
    return notices_.RateLimits(now);
  }
  void MergeRateLimits(const std::vector<rate_limit_statement>& statements, time_point now) {
    notices_.MergeRateLimits(statements, now);
  }
  /// Whether the server has stated since it was selected that it wants no more requests.
  bool IsWithdrawn(const dispatch_candidate& server, time_point now) const;

  /// Returns the number of this VM's requests at each server that has any.
  server_requests OwnRequests() const;
  /// Sets the number of requests of all other VMs at each server; servers that are not in
  /// `requests` have none. `vms`: number of all VMs, including this one.
  void SetOtherRequests(const server_requests& requests, std::size_t vms, time_point now);

  /// Forgets failures and late answers of all servers.
  void ForgetFailures();
  server_load& LoadOf(const backend_server_id& server) { return loads_[server]; }
  /// Removes the state of servers that have no request and for which `is_known` returns false.
  void Prune(const std::function<bool(const backend_server_id&)>& is_known, time_point now);

 private:
  /// Returns the end of a condition that excludes the server now; nothing when it does not apply.
  using condition_check = std::optional<time_point> (server_selection::*)(const dispatch_candidate&,
                                                                          const server_load&,
                                                                          time_point);
  struct condition {
    const char* reason;
    selection_failure failure;
    condition_check check;
    /// Applies only to servers that have stated something about themselves.
    bool needs_notice = false;
  };
  static const std::array<condition, 6> kConditions;

  std::optional<time_point> CheckLeaving(const dispatch_candidate& candidate,
                                         const server_load& load, time_point now);
  std::optional<time_point> CheckRest(const dispatch_candidate& candidate, const server_load& load,
                                      time_point now);
  std::optional<time_point> CheckSuspension(const dispatch_candidate& candidate,
                                            const server_load& load, time_point now);
  std::optional<time_point> CheckCapacity(const dispatch_candidate& candidate,
                                          const server_load& load, time_point now);
  std::optional<time_point> CheckRateLimit(const dispatch_candidate& candidate,
                                           const server_load& load, time_point now);
  std::optional<time_point> CheckColdRate(const dispatch_candidate& candidate,
                                          const server_load& load, time_point now);
  struct usable_server {
    const dispatch_candidate* candidate;
    const server_load* load;
  };

  std::optional<server_exclusion> ExclusionOf(const dispatch_candidate& candidate,
                                              const server_load& load, time_point now);
  /// Returns the candidate with the lowest score; compares only a random sample of groups. Reorders
  /// `usable`, which must not be empty.
  const dispatch_candidate* LeastLoaded(std::vector<usable_server>& usable, time_point now,
                                        const selection_work& work);
  std::size_t SubsetSize(const std::vector<dispatch_candidate>& candidates, time_point now) const;
  bool IsFull(const dispatch_candidate& candidate, const server_load& load) const;
  /// Whether the request's tokens, with those of the requests already there, exceed the KV cache of
  /// the group.
  static bool ExceedsMemory(const dispatch_candidate& candidate, const server_load& load,
                            const selection_work& work, time_point now);
  double ScoreOf(const dispatch_candidate& candidate, const server_load& load, time_point now);
  /// Score of a group in milliseconds of delay.
  double CostScoreOf(const dispatch_candidate& candidate, const server_load& load,
                     const selection_work& work, time_point now);
  static group_load GroupLoadOf(const dispatch_candidate& candidate, const server_load& load,
                                const selection_work& work, time_point now);

  /// Initial concurrency window of this VM for a group about which it knows nothing yet.
  double FirstWindow(const dispatch_candidate& candidate) const;

  const selection_options options_;
  const failure_domain_id own_domain_;
  random_source random_;
  /// This VM's share of the work of all VMs; 0 while neither their number nor this VM's partitions
  /// are known.
  double share_ = 0;
  bool vms_are_known_ = false;
  std::map<backend_server_id, server_load> loads_;
  subset_sizes subsets_;
  server_notices notices_;
  shared_rate_limits cold_;
  /// Divides the rates that servers state themselves.
  shared_rate_limits stated_;
};

}  // namespace waxwingwing
