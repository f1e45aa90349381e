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

/// Requests of one model group or plain service that wait in this entry VM for room at a backend
/// server.
///
/// Organisations are served by priority and, within a priority, by share (deficit round robin). A
/// request that would wait past its deadline is refused when it arrives. Safe for use by several
/// threads; callbacks run under the lock and must not call back.
class admission_queue {
 public:
  using waiter_id = std::uint64_t;

  struct waiter {
    const organisation_config* organisation = nullptr;
    token_count cost{1};
    time_point deadline;
    /// Tries to take a ticket and, when it gets one, wakes the request; true when it did.
    std::function<bool()> try_place;
  };

  enum class verdict { kPlaced, kQueued, kQueueFull, kDeadlineTooShort };

  struct admission {
    verdict result = verdict::kQueued;
    /// Names the waiter in `Remove`; set when queued.
    waiter_id id = 0;
    /// When to ask again; set when refused.
    milliseconds retry_after{0};
  };

  admission_queue() = default;
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;

  /// Places the request at once, queues it or refuses it.
  admission Admit(waiter request, time_point now);
  /// Places as many waiting requests as there is room for; call when room may have become free.
  void Dispatch(time_point now);
  /// Takes a waiter out, for example when its deadline passed or its caller is gone. False when it
  /// was placed before.
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
  void RecordPlacement(time_point now);

  mutable std::mutex mutex_;
  std::map<queue_key, organisation_queue> queues_;
  std::map<std::uint32_t, organisation_id> next_turn_;
  waiter_id last_id_ = 0;
  std::size_t size_ = 0;
  time_point last_placement_{};
  /// Moving average of the time between placements from the queue, in milliseconds; 0 when unknown.
  double placement_interval_ms_ = 0;
};

}  // namespace waxwingwing
