#pragma once

#include <optional>

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// Number of events a second, smoothed over a few seconds.
class event_rate {
 public:
  void Record(time_point now);
  /// Events a second; nothing until some were recorded, and when the last one is old.
  std::optional<double> PerSecond(time_point now) const;

 private:
  double weight_ = 0;
  std::optional<time_point> first_;
  time_point last_{};
};

/// Predicts when requests of this VM get places at the servers of one service and model, from the
/// rate at which places became free.
class capacity_forecast {
 public:
  /// Records that a request of this VM ended at a server.
  void RecordPlaceFreed(time_point now) { freed_.Record(now); }

  bool IsKnown(time_point now) const { return freed_.PerSecond(now).has_value(); }
  /// When `places` places have become free for this VM; nothing when the rate is not known.
  std::optional<time_point> StartAfter(double places, time_point now) const;
  /// Reserves a time for the return of a caller that is refused now, with `ahead` requests before
  /// it. Returns are spread over the rate at which places become free. Returns nothing, and
  /// reserves nothing, when the rate is not known or the time is later than `latest`.
  std::optional<time_point> ReserveReturn(double ahead, time_point latest, time_point now);

 private:
  event_rate freed_;
  /// The last time that was reserved.
  time_point last_return_{};
};

}  // namespace waxwingwing
