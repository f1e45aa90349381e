// The part of `forward_call` that waits for a place at a server in the order of a queue.
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "forward/forward_call.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing {
namespace {

/// Callers give up a stream without a first event after the longest of this time, and these
/// multiples of the latency objective and of the objective for the time between events.
constexpr milliseconds kMinCallerPatience{2000};
constexpr int kPatienceObjectives = 4;
constexpr int kPatienceTokenObjectives = 8;
/// Highest value of the urgency, that is the least urgent one, that backend servers accept.
constexpr std::uint32_t kMaxUrgency = 9;
/// Largest part of the time left that callers wait before they repeat a refused request.
constexpr int kRetryDelayDivisor = 3;
/// A request that is not the next one is woken when it becomes so; it looks this many times less
/// often by itself.
constexpr int kIdleCheckFactor = 4;

}  // namespace

milliseconds forward_call::CallerPatience() const {
  const traffic_route& route = *route_;
  return std::max({kMinCallerPatience, route.objective * kPatienceObjectives,
                   route.inter_token_objective * kPatienceTokenObjectives});
}

awaitable<const dispatch_candidate*> forward_call::FindServer() {
  // What was sent before goes first: it has waited, and holds a retry of the budget.
  capacity_queue* queue = sends_ > 0 ? nullptr : FindQueue();
  if (queue != nullptr) co_return co_await SelectInTurn(*queue);
  const dispatch_candidate* selected = SelectServer();
  while (selected == nullptr && MayWaitForCapacity()) {
    co_await WaitForCapacity();
    selected = SelectServer();
  }
  co_return selected;
}

capacity_queue* forward_call::FindQueue() const {
  const service_settings* service = configuration_->ServiceById(service_);
  if (service == nullptr || service->group_slots == 0) return nullptr;
  if (service->ModelByName(request_metadata_.model) == nullptr) return nullptr;
  if (!configuration_->HasPriorities(service_)) return nullptr;
  return &core_.queues[{service_, request_metadata_.model}];
}

std::uint32_t forward_call::Priority() const {
  if (organisation_ != nullptr && organisation_->priority) return *organisation_->priority;
  return route_->priority;
}

waiting_request forward_call::DescribeWaiting() const {
  duration to_answer = duration::max();
  for (const auto& candidate : core_.map->Candidates(service_, request_metadata_.model)) {
    const duration latency = core_.selection.LoadOf(candidate.server).smoothed_first_byte_latency();
    if (latency > duration::zero()) to_answer = std::min(to_answer, latency);
  }
  const duration least_wait =
      std::chrono::duration_cast<duration>(route_->objective * core_.options.queue_wait_fraction);
  to_answer = std::min<duration>(to_answer, route_->objective - least_wait);
  waiting_request waiting;
  if (organisation_ != nullptr) waiting.organisation = organisation_->id;
  waiting.priority = last_event_ ? 0 : Priority();
  waiting.arrived = arrived_at_;
  waiting.start_in_time = arrived_at_ + route_->objective - to_answer;
  waiting.last_start = std::min<time_point>(deadline_, arrived_at_ + CallerPatience()) - to_answer;
  return waiting;
}

awaitable<const dispatch_candidate*> forward_call::SelectInTurn(capacity_queue& queue) {
  const scope_guard left([&] {
    RecordLineLength(queue);
    queue.WakeNext(core_.Now());
  });
  capacity_queue::ticket ticket(queue, DescribeWaiting(), [this] { capacity_freed_.Wake(); });
  const auto promised = queue.QueuedStart(core_.Now());
  RecordLineLength(queue);
  for (;;) {
    const dispatch_candidate* selected = SelectAsDecided(ticket, queue);
    if (selected != nullptr) {
      ticket.RecordStart(queues_late_, core_.Now());
      RecordPlaceFound(promised);
      co_return selected;
    }
    if (lacks_place_ || !MayStayInQueue(ticket)) co_return nullptr;
    const int factor = ticket.IsNext(core_.Now()) ? 1 : kIdleCheckFactor;
    co_await capacity_freed_.Wait(core_.options.capacity_check_interval * factor);
  }
}

const dispatch_candidate* forward_call::SelectAsDecided(capacity_queue::ticket& ticket,
                                                        capacity_queue& queue) {
  const time_point now = core_.Now();
  const auto& candidates = core_.map->Candidates(service_, request_metadata_.model);
  const group_room room = FindGroupRoom(core_.selection, candidates, now);
  queue.UpdatePlaces({room.free, room.queued, 1 / static_cast<double>(core_.entry_vms)}, now);
  selection_failure_ = selection_failure::kAllFull;
  awaits_turn_ = false;
  switch (ticket.Decide(now)) {
    case queue_decision::kTakePlace:
      return SelectServer();
    case queue_decision::kWait:
      awaits_turn_ = true;
      return nullptr;
    case queue_decision::kRefuse:
      lacks_place_ = true;
      RecordNoPlace(ticket, room);
      return nullptr;
    case queue_decision::kQueueLate:
      break;
  }
  const dispatch_candidate* selected = SelectServer();
  queues_late_ = selected != nullptr;
  return selected;
}

bool forward_call::MayStayInQueue(const capacity_queue::ticket& ticket) const {
  if (!CanStillBeSent()) return false;
  // A request that was told to go, but to which no server is open, waits as it would without a
  // line.
  return awaits_turn_ ? core_.Now() <= ticket.request().last_start : MayWaitForCapacity();
}

std::uint32_t forward_call::Urgency() const {
  if (last_event_) return 0;
  if (FindQueue() == nullptr) return std::min(Priority(), kMaxUrgency);
  // Two levels for each priority: servers start late requests behind the others of their priority.
  return std::min(Priority() * 2 + (queues_late_ ? 1 : 0), kMaxUrgency);
}

void forward_call::RecordLineLength(const capacity_queue& queue) const {
  const metric_labels labels = {{"service", service_.str()}, {"model", request_metadata_.model}};
  core_.metrics.Gauge("waxwingwing_waiting_requests", labels)
      .Set(static_cast<std::int64_t>(queue.size()));
}

void forward_call::RecordNoPlace(const capacity_queue::ticket& ticket,
                                 const group_room& room) const {
  core_.metrics
      .Counter("waxwingwing_place_refusals_total",
               {{"service", service_.str()}, {"model", request_metadata_.model}})
      .Increment();
  core_.log.Write("no_place_in_time", {{"request", request_metadata_.id.str()},
                                       {"service", service_.str()},
                                       {"model", request_metadata_.model},
                                       {"priority", ticket.request().priority},
                                       {"queued_at_servers", room.queued},
                                       {"useful_for_ms", ticket.request().last_start - core_.Now()},
                                       {"age_ms", core_.Now() - arrived_at_}});
}

void forward_call::RecordPlaceFound(std::optional<time_point> promised) const {
  const char* kind = queues_late_ ? "late" : "in_turn";
  core_.metrics
      .Counter("waxwingwing_places_total",
               {{"service", service_.str()}, {"model", request_metadata_.model}, {"kind", kind}})
      .Increment();
  if (!promised || queues_late_) return;
  const duration error = core_.Now() - *promised;
  const char* direction = error > duration::zero() ? "later" : "earlier";
  core_.metrics.Summary("waxwingwing_place_forecast_error_seconds", {{"direction", direction}})
      .Observe(std::abs(std::chrono::duration<double>(error).count()));
}

void forward_call::RecordPlaceFreed() const {
  capacity_queue* queue = FindQueue();
  if (queue != nullptr) queue->RecordPlaceFreed(core_.Now());
}

std::optional<milliseconds> forward_call::DelayUntilCapacity() const {
  if (!lacks_place_) return RetryDelay();
  const time_point now = core_.Now();
  const auto reserved = FindQueue()->ReserveReturn(now + TimeLeft(now) / kRetryDelayDivisor, now);
  if (!reserved) return std::nullopt;
  return std::chrono::ceil<milliseconds>(*reserved - now);
}

}  // namespace waxwingwing
