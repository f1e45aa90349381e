#pragma once

#include <cstdint>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// What this VM has seen of one backend server: its own requests there, and how they fare.
///
/// All streams of a group advance together, pass by pass. Silence on every one of them is therefore
/// the earliest sign of a group that stands still.
class server_load {
 public:
  server_load();

  /// The window until answers of this server have shown another one.
  void SetFirstWindow(double window);
  void RequestSent(time_point now);
  /// The first byte of an answer, or the first event of a stream.
  /// `sent_at`: when the request was sent; `objective`: the time within which it should begin.
  void AnswerBegun(time_point now, time_point sent_at, duration objective);
  /// A request has waited past its objective, or the server had no room for one.
  void Congested(time_point now);
  void EventArrived(time_point now);
  /// `begun`: whether the answer had begun.
  void RequestEnded(bool begun, bool failed, time_point now);
  /// Nothing is sent to the server until `until`, unless an event arrives before.
  void Suspend(time_point until);
  /// Requests of all other VMs at the server, as they were told at `now`.
  void SetOthers(std::uint32_t running, time_point now);
  /// Requests of all other VMs; 0 when nothing was told lately.
  std::uint32_t others(time_point now) const;

  bool IsSuspended(time_point now) const { return suspended_until_ && now < *suspended_until_; }
  std::optional<time_point> suspended_until() const { return suspended_until_; }
  /// Requests of this VM at the server.
  std::uint32_t running() const { return running_; }
  /// Those whose answer has not begun.
  std::uint32_t waiting() const { return waiting_; }
  /// Part of recent requests that failed, 0 to 1.
  double failure_rate() const { return failure_rate_; }
  /// Smoothed time to the first byte or event.
  duration typical_wait() const { return typical_wait_; }
  /// Smoothed time between two passes of a group; zero for servers that sent no events lately.
  duration RecentPause(time_point now) const;
  /// Requests that this VM may have at the server. Grows while answers begin in time and shrinks
  /// when they do not, so that the VMs find a server's capacity without a message between them.
  double window() const { return window_; }
  /// How long the server has been silent although a stream was running; zero when none is.
  duration SilenceOfStreams(time_point now) const;
  /// Longest silence that is usual while streams run.
  duration SilenceLimit() const;
  std::optional<time_point> last_event() const { return last_event_; }
  /// Whether requests that were sent `margin` later than `sent_at` have begun.
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
  duration typical_wait_{0};
  duration typical_pause_{std::chrono::milliseconds(60)};
  std::optional<time_point> last_event_;
  /// When the newest request that has begun was sent.
  std::optional<time_point> newest_begun_;
  std::optional<time_point> streams_since_;
  std::optional<time_point> suspended_until_;
  std::uint32_t others_ = 0;
  std::optional<time_point> others_told_at_;
};

}  // namespace waxwingwing
