#include "bench/failure_trace.h"

#include <algorithm>
#include <cmath>

#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

constexpr double kDayMs = 24.0 * 3600 * 1000;
constexpr double kFleetVms = 3490;
constexpr double kLossesPerDay = 39;
constexpr double kRestartsPerDay = 600;
constexpr double kReplacementsPerDay = 600;
constexpr double kFabricOutagesPerDay = 1.0 / 45;

milliseconds RandomBetween(random_source& random, std::int64_t low_ms, std::int64_t high_ms) {
  return milliseconds(low_ms + static_cast<std::int64_t>(random.Below(high_ms - low_ms)));
}

milliseconds RandomOutageLength(random_source& random, failure_kind kind) {
  switch (kind) {
    case failure_kind::kLoss:
      return RandomBetween(random, 900'000, 3'600'000);
    case failure_kind::kRestart:
      return RandomBetween(random, 10'000, 60'000);
    case failure_kind::kReplacement:
      return RandomBetween(random, 300'000, 900'000);
    case failure_kind::kFabricOutage:
      return RandomBetween(random, 1'800'000, 7'200'000);
  }
  return milliseconds(0);
}

void AddEvents(std::vector<failure_event>& events, random_source& random, failure_kind kind,
               double per_day, std::size_t targets, milliseconds length) {
  double at = 0;
  while (true) {
    at += -std::log(1 - random.Fraction()) * kDayMs / per_day;
    if (at >= static_cast<double>(length.count())) return;
    failure_event event;
    event.at = milliseconds(static_cast<std::int64_t>(at));
    event.kind = kind;
    event.index = random.Below(targets);
    event.outage_length = RandomOutageLength(random, kind);
    event.drain = RandomBetween(random, 5'000, 30'000);
    events.push_back(event);
  }
}

}  // namespace

std::vector<failure_event> GenerateFailureTrace(const fleet_shape& shape, milliseconds length,
                                                std::uint64_t seed) {
  random_source random(seed);
  std::vector<failure_event> events;
  const double share = static_cast<double>(shape.vms()) / kFleetVms;
  AddEvents(events, random, failure_kind::kLoss, kLossesPerDay * share, shape.vms(), length);
  AddEvents(events, random, failure_kind::kRestart, kRestartsPerDay * share, shape.vms(), length);
  AddEvents(events, random, failure_kind::kReplacement, kReplacementsPerDay * share, shape.vms(),
            length);
  AddEvents(events, random, failure_kind::kFabricOutage, kFabricOutagesPerDay, shape.fabrics,
            length);
  std::sort(events.begin(), events.end(),
            [](const auto& left, const auto& right) { return left.at < right.at; });
  return events;
}

}  // namespace waxwingwing
