#pragma once

#include <cstdint>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/work/server_backlog.h"

namespace waxwingwing {

/// Load and health of one backend server as seen by this VM: this VM's requests at the server,
/// their latencies and failures, and the concurrency window for them.
///
/// All streams of a group advance together, one decoding step at a time. Silence on all of them is
/// therefore the earliest sign of a stalled group.
class server_load {
 public:
  server_load();

  /// Sets the initial concurrency window; ignored once the window was adjusted by answers.
  void SetFirstWindow(double window);
  /// Records a request that was sent to the server.
  void RequestSent(time_point now);
  /// Records the first byte of an answer, or the first event of a stream.
  /// `sent_at`: when the request was sent; `objective`: the time from then within which the answer
  /// should begin.
  void AnswerBegun(time_point now, time_point sent_at, duration objective);
  /// Records that a request has waited past its objective, or that the server had no capacity for
  /// one; shrinks the window.
  void RecordCongestion(time_point now);
  /// Records that the server asked for a time without requests; halves the window, so that it gets
  /// its share of them again by degrees.
  void RecordRest();
  /// Records an event of a stream; ends a suspension.
  void EventArrived(time_point now);
  /// Records the end of a request. `begun`: whether its answer had begun.
  void RequestEnded(bool begun, bool failed, time_point now);
  /// Excludes the server from selection until `until`, or until an event arrives from it.
  void Suspend(time_point until);
  /// Forgets failures and late answers, which have shown nothing about the server.
  void ForgetFailures();
  /// Sets the number of requests of all other VMs at the server, as reported at `now`.
  void SetOtherVmRequests(std::uint32_t running, time_point now);
  /// Number of requests of all other VMs; 0 when none were reported recently.
  std::uint32_t other_vm_requests(time_point now) const;

  /// Outstanding work of the requests whose cost is known.
  server_backlog& backlog() { return backlog_; }
  const server_backlog& backlog() const { return backlog_; }

  bool IsSuspended(time_point now) const { return suspended_until_ && now < *suspended_until_; }
  std::optional<time_point> suspended_until() const { return suspended_until_; }
  /// Number of this VM's requests at the server.
  std::uint32_t running() const { return running_; }
  /// Number of this VM's requests whose answer has not begun.
  std::uint32_t waiting() const { return waiting_; }
  /// Smoothed share of recent requests that failed, 0 to 1.
  double failure_rate() const { return failure_rate_; }
  /// Smoothed latency of the first byte or event.
  duration smoothed_first_byte_latency() const { return smoothed_first_byte_latency_; }
  /// Smoothed time between two decoding steps of a group; zero for servers that sent no events
  /// recently.
  duration RecentStepTime(time_point now) const;
  /// Concurrency window: the number of requests that this VM may have at the server. Grows while
  /// answers begin in time and shrinks when they do not, so that the VMs find a server's capacity
  /// without exchanging messages.
  double window() const { return window_; }
  /// Time since the last event while streams are running; zero when none is running.
  duration SilenceOfStreams(time_point now) const;
  /// Longest silence of running streams that does not count as a stall.
  duration SilenceLimit() const;
  std::optional<time_point> last_event() const { return last_event_; }
  /// Whether the answer to a request that was sent more than `margin` after `sent_at` has begun.
  bool IsOvertaken(time_point sent_at, duration margin) const {
    return newest_begun_ && *newest_begun_ > sent_at + margin;
  }

 private:
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  double failure_rate_ = 0;
  double window_;
  bool window_is_learned_ = false;
  std::optional<time_point> shrunk_at_;
  duration smoothed_first_byte_latency_{0};
  duration typical_step_time_{std::chrono::milliseconds(60)};
  std::optional<time_point> last_event_;
  /// Latest sending time among the requests whose answer has begun.
  std::optional<time_point> newest_begun_;
  std::optional<time_point> streams_since_;
  std::optional<time_point> suspended_until_;
  std::uint32_t other_vm_requests_ = 0;
  std::optional<time_point> others_reported_at_;
  server_backlog backlog_;
};

}  // namespace waxwingwing
