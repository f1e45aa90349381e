#include "gateway/dispatch_group.h"

#include <algorithm>

namespace waxwingwing {
namespace {

// A failed server becomes unroutable when its report is 2 s old, so a server that is still routable
// after this time has answered a poll again.
constexpr milliseconds kUnreachableExclusion{3000};
// After a lost answer, one request in this interval probes whether the server answers again.
constexpr milliseconds kUnansweredExclusion{1000};

}  // namespace

void placement_request::Exclude(const backend_view& view, bool unreachable, time_point now) {
  const backend_instance run(view.vm, view.incarnation);
  failed.insert(run);
  if (unreachable) unreachable_until[run] = now + kUnreachableExclusion;
}

dispatch_group::exclusion dispatch_group::GetExclusion(const backend_view& view,
                                                       const placement_request& request,
                                                       time_point now) {
  const backend_instance run(view.vm, view.incarnation);
  const auto unreachable = request.unreachable_until.find(run);
  if (unreachable != request.unreachable_until.end() && now < unreachable->second)
    return exclusion::kUnreachable;
  if (request.failed.contains(run) || IsUnanswered(run, now)) return exclusion::kFailed;
  return exclusion::kNone;
}

void dispatch_group::ReportUnanswered(const backend_view& view, time_point now) {
  const std::lock_guard lock(unanswered_mutex_);
  std::erase_if(unanswered_until_, [now](const auto& item) { return item.second <= now; });
  unanswered_until_[{view.vm, view.incarnation}] = now + kUnansweredExclusion;
}

void dispatch_group::ReportAnswered(const backend_view& view) {
  const std::lock_guard lock(unanswered_mutex_);
  unanswered_until_.erase({view.vm, view.incarnation});
}

bool dispatch_group::IsUnanswered(const backend_instance& run, time_point now) {
  const std::lock_guard lock(unanswered_mutex_);
  const auto found = unanswered_until_.find(run);
  return found != unanswered_until_.end() && now < found->second;
}

dispatch_group::dispatch_group(kind type, const std::string& name,
                               const snapshot_cell<routing_snapshot>& snapshots,
                               std::unique_ptr<replica_selector> selector)
    : type_(type),
      model_group_(type == kind::kModelGroup ? name : std::string()),
      service_(type == kind::kService ? name : std::string()),
      snapshots_(snapshots),
      selector_(std::move(selector)) {}

dispatch_group::placement_result dispatch_group::TryPlace(
    const placement_request& request, std::unique_ptr<backend_placement>& placement,
    time_point now) {
  const auto snapshot = snapshots_.Get();
  const bool outdated = now > snapshot->published_at + kSnapshotLifetime;
  if (snapshot->dispatch_suspended || outdated) return placement_result::kSuspended;
  const std::vector<backend_view>& backends = Backends(*snapshot);
  const selection_input input{backends, snapshot->own_domain, request.prefix_hash, now};
  const std::vector<std::size_t> order = selector_->Rank(input);
  const auto try_level = [&](exclusion level) {
    return TryBackends(backends, order, request, level, placement, now);
  };
  if (try_level(exclusion::kNone)) return placement_result::kPlaced;
  const bool others = std::any_of(order.begin(), order.end(), [&](std::size_t index) {
    return GetExclusion(backends[index], request, now) == exclusion::kNone;
  });
  // A server that failed this request is used again only when there is no other to wait for.
  if (!others && try_level(exclusion::kFailed)) return placement_result::kPlaced;
  return placement_result::kAllAtLimit;
}

bool dispatch_group::TryBackends(const std::vector<backend_view>& backends,
                                 const std::vector<std::size_t>& order,
                                 const placement_request& request, exclusion level,
                                 std::unique_ptr<backend_placement>& placement, time_point now) {
  for (const std::size_t index : order) {
    const backend_view& view = backends[index];
    if (!view.routable || view.budget == nullptr) continue;
    if (GetExclusion(view, request, now) != level) continue;
    auto ticket = admission_ticket::TryAcquire(view.budget, request.kv_cost);
    if (!ticket) continue;
    placement = std::make_unique<backend_placement>(backend_placement{view, std::move(*ticket)});
    return true;
  }
  return false;
}

bool dispatch_group::HasRoutable(const std::vector<backend_view>& backends) {
  return std::any_of(backends.begin(), backends.end(),
                     [](const backend_view& view) { return view.routable; });
}

const std::vector<backend_view>& dispatch_group::Backends(const routing_snapshot& snapshot) const {
  static const std::vector<backend_view> kNone;
  if (type_ == kind::kModelGroup) {
    const auto found = snapshot.replicas.find(model_group_);
    return found == snapshot.replicas.end() ? kNone : found->second;
  }
  const auto found = snapshot.services.find(service_);
  return found == snapshot.services.end() ? kNone : found->second;
}

bool dispatch_group::TryAcquireReportSlot(time_point now, duration interval) {
  duration::rep last = last_report_.load(std::memory_order_relaxed);
  const duration::rep current = now.time_since_epoch().count();
  if (current - last < interval.count()) return false;
  return last_report_.compare_exchange_strong(last, current, std::memory_order_relaxed);
}

}  // namespace waxwingwing
