#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "waxwingwing/waiting/capacity_forecast.h"
#include "waxwingwing/waiting/place_allowance.h"
#include "waxwingwing/waiting/waiting_line.h"

namespace waxwingwing {

/// What a request that has no place yet is to do.
enum class queue_decision {
  /// Go to a server: it starts the request in time, or the request is the next one and this VM may
  /// take a place.
  kTakePlace,
  /// Wait in the line of this VM.
  kWait,
  /// Queue at a server behind the requests that can still be in time: it cannot be itself.
  kQueueLate,
  /// Give up: no place becomes free while that is of use to the caller.
  kRefuse,
};

/// Places at the servers of one service and model, by the reports of all VMs.
struct place_report {
  std::size_t free = 0;
  /// Requests that have no place and queue at the servers.
  std::size_t queued = 0;
  /// This VM's part of all VMs, in (0, 1].
  double vm_share = 1;
};

/// Decides which of this VM's requests for one service and model take a free place, wait, queue at
/// a server as late ones, or are refused. Must be used from a single thread.
class capacity_queue {
 public:
  /// A request's membership in the line; ends when it is destroyed.
  class ticket {
   public:
    /// `wake`: called when the request is the next one and may find a place.
    ticket(capacity_queue& queue, const waiting_request& request, std::function<void()> wake);
    ticket(const ticket&) = delete;
    ticket& operator=(const ticket&) = delete;
    ~ticket() { queue_.line_.Leave(position_); }

    queue_decision Decide(time_point now) const;
    /// Whether the request is the next one.
    bool IsNext(time_point now) const { return queue_.line_.Next(now) == position_; }
    /// Records that the request was sent to a server. `queues_late`: it took no place.
    void RecordStart(bool queues_late, time_point now);
    const waiting_request& request() const { return position_->request; }

   private:
    capacity_queue& queue_;
    waiting_line::position position_;
  };

  void UpdatePlaces(const place_report& report, time_point now);
  /// Records that a request of this VM ended at a server, and wakes the next one.
  void RecordPlaceFreed(time_point now);
  /// Wakes the next request, because a server may take one again.
  void WakeNext(time_point now) { line_.WakeNext(now); }
  /// When a request starts that queues at a server now; nothing when that is not known.
  std::optional<time_point> QueuedStart(time_point now) const;
  /// Reserves a time for the return of a caller that is refused now; see `capacity_forecast`.
  std::optional<time_point> ReserveReturn(time_point latest, time_point now);
  std::size_t size() const { return line_.size(); }

 private:
  /// Part of the places that is left to the requests that queue at the servers, so that these start
  /// before their callers leave.
  double PartLeftToQueued(time_point now) const;

  waiting_line line_;
  capacity_forecast forecast_;
  place_allowance allowance_;
  place_report places_;
  /// How long the caller of the newest late request waits.
  std::chrono::duration<double> late_patience_{1};
};

}  // namespace waxwingwing
