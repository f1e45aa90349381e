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

/// Identifies one process instance of a backend server.
using backend_instance = std::pair<vm_id, incarnation>;

/// Input of the selection of a backend server for one request.
struct placement_request {
  token_count kv_cost;
  std::uint64_t prefix_hash = 0;
  /// Servers that this request must not use before the given time; after it they count as `failed`.
  std::map<backend_instance, time_point> unreachable_until;
  /// Servers that failed this request; used again only when no other server is routable.
  std::set<backend_instance> failed;

  /// Excludes a backend server after a failed attempt; `unreachable` when the server could not be
  /// reached.
  void Exclude(const backend_view& view, bool unreachable, time_point now);
};

/// A selected backend server and the admission ticket for one request to it.
struct backend_placement {
  backend_view view;
  admission_ticket ticket;
};

/// Request queue of one model group or plain service, and the selection among its backend servers.
///
/// The selector and the snapshot reader are not locked themselves: only `TryPlace` uses them, which
/// the queue calls under its lock.
class dispatch_group {
 public:
  enum class kind { kModelGroup, kService };

  dispatch_group(kind type, const std::string& name,
                 const snapshot_cell<routing_snapshot>& snapshots,
                 std::unique_ptr<replica_selector> selector);
  dispatch_group(const dispatch_group&) = delete;
  dispatch_group& operator=(const dispatch_group&) = delete;

  admission_queue& queue() { return queue_; }

  enum class placement_result { kPlaced, kAllAtLimit, kSuspended };
  /// Selects a backend server and acquires a ticket. Call only from the `try_dispatch` of a waiter.
  placement_result TryPlace(const placement_request& request,
                            std::unique_ptr<backend_placement>& placement, time_point now);

  /// Reports that a backend server did not answer a request. All requests then avoid it for a
  /// while: its status reports show a failure only after seconds, and each request that fails there
  /// uses up a retry.
  void ReportUnanswered(const backend_view& view, time_point now);
  /// Reports that a backend server answered, which ends its exclusion: one lost answer alone must
  /// not exclude a server that works.
  void ReportAnswered(const backend_view& view);

  /// True when at least one backend server is routable, whether or not it has free capacity.
  static bool HasRoutable(const std::vector<backend_view>& backends);
  /// The backend servers of this group in a snapshot.
  const std::vector<backend_view>& Backends(const routing_snapshot& snapshot) const;

  /// Returns true at most once in each `interval`; limits the rate of unmet demand reports.
  bool TryAcquireReportSlot(time_point now, duration interval);

 private:
  enum class exclusion { kNone, kFailed, kUnreachable };

  bool TryBackends(const std::vector<backend_view>& backends, const std::vector<std::size_t>& order,
                   const placement_request& request, exclusion level,
                   std::unique_ptr<backend_placement>& placement, time_point now);
  exclusion GetExclusion(const backend_view& view, const placement_request& request,
                         time_point now);
  bool IsUnanswered(const backend_instance& run, time_point now);

  kind type_;
  model_group_id model_group_;
  service_id service_;
  snapshot_reader<routing_snapshot> snapshots_;
  std::unique_ptr<replica_selector> selector_;
  admission_queue queue_;
  std::atomic<duration::rep> last_report_{0};
  std::mutex unanswered_mutex_;
  std::map<backend_instance, time_point> unanswered_until_;
};

}  // namespace waxwingwing
