#include "groups/replica_health.h"

#include <algorithm>
#include <cassert>

namespace waxwingwing {
namespace {

/// Time after which every entry VM knows that a replica takes no new requests (P8), plus the lag of
/// load reports.
constexpr milliseconds kDispatchStopTime{4000};

bool IsStraggler(const vm_view& view, const planner_options& options, time_point now) {
  const auto& slow_since = view.history->slow_since;
  return slow_since && now - *slow_since >= options.straggler_time;
}

/// Lower median of the positive times of the other members; 0 when there is none.
double MedianOfOthers(const std::vector<double>& times, std::size_t rank) {
  std::vector<double> others;
  for (std::size_t other = 0; other < times.size(); ++other) {
    if (other != rank && times[other] > 0) others.push_back(times[other]);
  }
  if (others.empty()) return 0;
  const auto middle = others.begin() + static_cast<std::ptrdiff_t>((others.size() - 1) / 2);
  std::nth_element(others.begin(), middle, others.end());
  return *middle;
}

}  // namespace

replica_health ExamineReplica(const planned_replica& replica, const vm_pool& pool,
                              const planner_options& options, time_point now) {
  replica_health health;
  for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
    const member_readiness readiness = pool.ReadinessOf(replica, rank);
    if (readiness == member_readiness::kReady) ++health.ready;
    if (readiness == member_readiness::kLoading) ++health.loading;
    if (readiness == member_readiness::kLost) {
      health.lost.push_back(rank);
      continue;
    }
    const vm_view* view = pool.Find(replica.members[rank]);
    if (view->leaving() || IsStraggler(*view, options, now)) health.unwanted.push_back(rank);
  }
  health.complete = health.ready == replica.members.size();
  if (health.complete) return health;
  for (const std::uint32_t rank : health.unwanted) {
    if (pool.Find(replica.members[rank])->leaving()) health.lost.push_back(rank);
  }
  std::sort(health.lost.begin(), health.lost.end());
  health.unwanted.clear();
  return health;
}

void TrackStragglers(const planned_replica& replica, vm_pool& pool, const planner_options& options,
                     time_point now) {
  std::vector<double> times;
  for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
    const bool ready = pool.ReadinessOf(replica, rank) == member_readiness::kReady;
    times.push_back(ready ? pool.Find(replica.members[rank])->report->ms_per_token : 0);
  }
  for (std::uint32_t rank = 0; rank < replica.members.size(); ++rank) {
    vm_view* view = pool.Find(replica.members[rank]);
    if (view == nullptr || view->owner != replica.id) continue;
    const double median = MedianOfOthers(times, rank);
    const bool slow = median > 0 && times[rank] > options.straggler_factor * median;
    if (!slow) view->history->slow_since.reset();
    if (slow && !view->history->slow_since) view->history->slow_since = now;
  }
}

bool IsDrained(const planned_replica& replica, const vm_pool& pool, const planner_options& options,
               time_point now) {
  assert(replica.drain_since.has_value());
  if (now - *replica.drain_since >= options.drain_limit) return true;
  for (const vm_id& member : replica.members) {
    const vm_view* view = pool.Find(member);
    // A replica with a lost member cannot complete any running request.
    if (view == nullptr || view->owner != replica.id || view->silent) return true;
    if (view->report == nullptr) return false;
    if (view->report->taken_at < *replica.drain_since + kDispatchStopTime) return false;
    if (view->report->running > request_count(0)) return false;
  }
  return true;
}

}  // namespace waxwingwing
