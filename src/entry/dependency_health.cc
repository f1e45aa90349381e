#include "entry/dependency_health.h"

namespace waxwingwing {

void dependency_health::Succeeded() {
  if (!lost_since_) return;
  const time_point now = entry_.clock.Now();
  entry_.log.Write("dependency_regained", {{"dependency", name_}, {"away_ms", now - *lost_since_}});
  lost_since_.reset();
  regained_at_ = now;
}

void dependency_health::Failed(std::string_view reason) {
  entry_.metrics
      .Counter("waxwingwing_dependency_failures_total", {{"dependency", std::string(name_)}})
      .Increment();
  if (lost_since_) return;
  lost_since_ = entry_.clock.Now();
  entry_.log.Write("dependency_lost", {{"dependency", name_}, {"reason", reason}});
}

}  // namespace waxwingwing
