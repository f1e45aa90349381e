#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Queues the requests of one model group or plain service in this entry VM until a backend server
/// has capacity for them.
///
/// Organisations are served by priority and, within a priority, by share (deficit round robin). A
/// request that is expected to wait past its deadline is refused on arrival. Thread-safe; callbacks
/// run while the lock is held and must not call this queue.
class admission_queue {
 public:
  using waiter_id = std::uint64_t;

  struct waiter {
    const organisation_config* organisation = nullptr;
    token_count cost{1};
    time_point deadline;
    /// Tries to acquire a ticket and, on success, wakes the request and returns true.
    std::function<bool()> try_dispatch;
  };

  enum class verdict { kDispatched, kQueued, kQueueFull, kDeadlineTooShort };

  struct admission {
    verdict result = verdict::kQueued;
    /// Identifies the waiter in `Remove`; set when queued.
    waiter_id id = 0;
    /// Delay after which the caller may retry; set when refused.
    milliseconds retry_after{0};
  };

  admission_queue() = default;
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;

  /// Dispatches the request immediately, queues it or refuses it.
  admission Admit(waiter request, time_point now);
  /// Dispatches as many waiting requests as capacity allows; call when capacity may have been
  /// freed.
  void Dispatch(time_point now);
  /// Removes a waiter, for example when its deadline has passed or its caller has disconnected.
  /// Returns false when it was already dispatched.
  bool Remove(waiter_id id);

  std::size_t Size() const;

 private:
  struct queued {
    waiter_id id;
    waiter request;
    time_point queued_at;
  };

  struct organisation_queue {
    std::deque<queued> waiting;
    std::uint32_t share = 1;
    std::uint64_t deficit = 0;
  };

  using queue_key = std::pair<std::uint32_t, organisation_id>;

  bool HasWaiting(std::uint32_t lowest_priority) const;
  bool DispatchOne(time_point now);
  bool ServeFront(organisation_queue& queue, time_point now);
  void AdvanceTurn(const std::vector<queue_key>& order, const queue_key& served);
  milliseconds EstimatedWait(std::uint32_t priority) const;
  void RecordDispatch(time_point now);

  mutable std::mutex mutex_;
  std::map<queue_key, organisation_queue> queues_;
  std::map<std::uint32_t, organisation_id> next_turn_;
  waiter_id last_id_ = 0;
  std::size_t size_ = 0;
  time_point last_dispatch_{};
  /// Moving average of the time between dispatches from the queue, in milliseconds; 0 if unknown.
  double dispatch_interval_ms_ = 0;
};

}  // namespace waxwingwing
