#include "waxwingwing/waiting/capacity_queue.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

/// Least part of the places that are left to the requests that queue at the servers: the queues get
/// shorter, and late requests start while fresh ones go before them.
constexpr double kMinPartLeft = 0.25;
/// Some places always go to requests that can be in time.
constexpr double kMaxPartLeft = 0.9;
/// Part of their callers' patience within which the requests that queue at the servers should all
/// start; the rest is for the age of the reports.
constexpr double kPatienceUsed = 0.8;

}  // namespace

capacity_queue::ticket::ticket(capacity_queue& queue, const waiting_request& request,
                               std::function<void()> wake)
    : queue_(queue), position_(queue.line_.Join({request, std::move(wake)})) {}

queue_decision capacity_queue::ticket::Decide(time_point now) const {
  // Without a forecast a request is sent to a server, where it may queue.
  if (!queue_.forecast_.IsKnown(now)) return queue_decision::kTakePlace;
  const waiting_request& request = position_->request;
  const auto queued_start = queue_.QueuedStart(now);
  if (queued_start && *queued_start <= request.start_in_time) return queue_decision::kTakePlace;
  if (queue_.allowance_.MayTake() && IsNext(now)) return queue_decision::kTakePlace;
  const auto start = queue_.forecast_.StartAfter(
      static_cast<double>(queue_.line_.CountAhead(request, now)) + 1, now);
  if (start && *start <= request.start_in_time) return queue_decision::kWait;
  // The rate of freed places is that of the past: while nothing queues at the servers, a low one
  // may only mean that little was asked for.
  const bool has_queue = queue_.places_.queued > 0;
  if (has_queue && queued_start && *queued_start > request.last_start) {
    return queue_decision::kRefuse;
  }
  queue_.late_patience_ = request.last_start - request.arrived;
  return queue_decision::kQueueLate;
}

void capacity_queue::ticket::RecordStart(bool queues_late, time_point now) {
  if (!queues_late) queue_.allowance_.Take();
  queue_.line_.RecordStart(position_->request, now);
}

void capacity_queue::UpdatePlaces(const place_report& report, time_point now) {
  places_ = report;
  allowance_.Refill(report.free, report.vm_share, now);
}

void capacity_queue::RecordPlaceFreed(time_point now) {
  forecast_.RecordPlaceFreed(now);
  allowance_.AddOwnPlace(PartLeftToQueued(now));
  line_.WakeNext(now);
}

double capacity_queue::PartLeftToQueued(time_point now) const {
  const auto start = QueuedStart(now);
  if (places_.queued == 0 || !start) return 0;
  const double wait = std::chrono::duration<double>(*start - now) / late_patience_;
  return std::clamp(wait / kPatienceUsed, kMinPartLeft, kMaxPartLeft);
}

std::optional<time_point> capacity_queue::QueuedStart(time_point now) const {
  // The places of all VMs serve the requests that queue at the servers.
  return forecast_.StartAfter((static_cast<double>(places_.queued) + 1) * places_.vm_share, now);
}

std::optional<time_point> capacity_queue::ReserveReturn(time_point latest, time_point now) {
  const double queued = static_cast<double>(places_.queued) * places_.vm_share;
  return forecast_.ReserveReturn(static_cast<double>(line_.size()) + queued, latest, now);
}

}  // namespace waxwingwing
