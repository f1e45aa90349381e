#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "waxwingwing/admission/admission_queue.h"
#include "waxwingwing/core/snapshot_cell.h"
#include "waxwingwing/routing/replica_selector.h"
#include "waxwingwing/routing/routing_snapshot.h"

namespace waxwingwing {

/// Identifies one run of a backend server's process.
using backend_run = std::pair<vm_id, incarnation>;

/// What the selection of a backend server for one request depends on.
struct placement_request {
  token_count kv_cost;
  std::uint64_t prefix_hash = 0;
  /// Not used by this request until then; later as one of `failed`.
  std::map<backend_run, time_point> dead_until;
  /// Used again only when there is no other.
  std::set<backend_run> failed;

  /// Excludes a backend server after a failed attempt; `dead` when it did not answer at all.
  void Exclude(const backend_view& view, bool dead, time_point now);
};

/// A selected backend server with the permit to send it one request.
struct backend_placement {
  backend_view view;
  admission_ticket ticket;
};

/// A model group or plain service: its queue and the selection among its backend servers.
///
/// The selector and the snapshot reader are used under the lock of the queue only, since
/// `TryPlace` is called by its waiters.
class dispatch_group {
 public:
  enum class kind { kModelGroup, kService };

  dispatch_group(kind type, const std::string& name,
                 const snapshot_cell<routing_snapshot>& snapshots,
                 std::unique_ptr<replica_selector> selector);
  dispatch_group(const dispatch_group&) = delete;
  dispatch_group& operator=(const dispatch_group&) = delete;

  admission_queue& queue() { return queue_; }

  enum class placing { kPlaced, kNoRoom, kSuspended };
  /// Selects a backend server and takes a ticket. Only for `try_place` of a waiter.
  placing TryPlace(const placement_request& request, std::unique_ptr<backend_placement>& placement,
                   time_point now);

  /// Tells that a backend server gave no answer to a request. All requests use others for a while,
  /// since its reports show a loss only after seconds and each request that finds it spends a
  /// retry.
  void ReportUnanswered(const backend_view& view, time_point now);
  /// Tells that a backend server answered: a single lost answer must not count against it.
  void ReportAnswered(const backend_view& view);

  /// True when some backend server is routable, with or without room.
  static bool HasRoutable(const std::vector<backend_view>& backends);
  /// The backend servers of this group in a snapshot.
  const std::vector<backend_view>& Backends(const routing_snapshot& snapshot) const;

  /// True at most once in each `interval`; bounds reports of unmet demand.
  bool TakeReportTurn(time_point now, duration interval);

 private:
  enum class exclusion { kNone, kFailed, kDead };

  bool TryBackends(const std::vector<backend_view>& backends, const std::vector<std::size_t>& order,
                   const placement_request& request, exclusion level,
                   std::unique_ptr<backend_placement>& placement, time_point now);
  exclusion ExclusionOf(const backend_view& view, const placement_request& request, time_point now);
  bool IsUnanswered(const backend_run& run, time_point now);

  kind type_;
  model_group_id model_group_;
  service_id service_;
  snapshot_reader<routing_snapshot> snapshots_;
  std::unique_ptr<replica_selector> selector_;
  admission_queue queue_;
  std::atomic<duration::rep> last_report_{0};
  std::mutex unanswered_mutex_;
  std::map<backend_run, time_point> unanswered_until_;
};

}  // namespace waxwingwing
