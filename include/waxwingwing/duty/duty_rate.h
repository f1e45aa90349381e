#pragma once

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// Limits the rate of the calls that only one VM at a time may make: a token bucket which all kinds
/// of these calls share. Use from one thread.
class duty_rate {
 public:
  /// `calls_per_second`: what the platform accepts of all VMs together; a part of it is used.
  duty_rate(double calls_per_second, time_point now);

  /// Whether one more call may be made now; if so, counts it.
  bool TryTake(time_point now);

 private:
  const double rate_;
  const double capacity_;
  double tokens_;
  time_point updated_at_;
};

}  // namespace waxwingwing
