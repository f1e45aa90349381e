#include "waxwingwing/waiting/capacity_forecast.h"

#include <algorithm>
#include <cmath>

namespace waxwingwing {
namespace {

/// Time constant of the rates: a VM may see one end a second of a model.
constexpr double kRateSeconds = 4;
/// Number of events from which a rate is known.
constexpr double kMinEvents = 3;
/// Age of the newest event from which a rate is no longer used.
constexpr std::chrono::seconds kMaxAge{4};

double Seconds(duration time) { return std::chrono::duration<double>(time).count(); }

duration After(double count, double per_second) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(count / per_second));
}

}  // namespace

void event_rate::Record(time_point now) {
  if (!first_ || now - last_ > kMaxAge) {
    first_ = now;
    weight_ = 0;
  }
  weight_ = weight_ * std::exp(-Seconds(now - last_) / kRateSeconds) + 1;
  last_ = now;
}

std::optional<double> event_rate::PerSecond(time_point now) const {
  if (!first_ || weight_ < kMinEvents || now - last_ > kMaxAge) return std::nullopt;
  const double weight = weight_ * std::exp(-Seconds(now - last_) / kRateSeconds);
  // A rate that started recently has been summed up over a part of the time constant.
  const double observed = -std::expm1(-Seconds(now - *first_) / kRateSeconds);
  if (observed <= 0) return std::nullopt;
  return weight / (kRateSeconds * observed);
}

std::optional<time_point> capacity_forecast::StartAfter(double places, time_point now) const {
  const auto freed = freed_.PerSecond(now);
  if (!freed) return std::nullopt;
  return now + After(places, *freed);
}

std::optional<time_point> capacity_forecast::ReserveReturn(double ahead, time_point latest,
                                                           time_point now) {
  const auto freed = freed_.PerSecond(now);
  if (!freed) return std::nullopt;
  const time_point cleared = now + After(ahead + 1, *freed);
  const time_point reserved = std::max(cleared, last_return_ + After(1, *freed));
  if (reserved > latest) return std::nullopt;
  last_return_ = reserved;
  return reserved;
}

}  // namespace waxwingwing
