#pragma once

#include <cstdint>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Decides whether this VM may make the calls that only one VM at a time may make.
///
/// A VM may call while it may act as the controller, and not in the first `takeover_wait` of its
/// term. In that time the last call of the previous holder arrives, so that the calls of two
/// holders neither overlap nor alternate within it. A VM that was frozen or cut off may not act as
/// the controller until it has renewed its lease, since the lease counts the time since the last
/// renewal on a clock that runs on in a suspension. Use from one thread.
class duty_gate {
 public:
  explicit duty_gate(milliseconds takeover_wait) : takeover_wait_(takeover_wait) {}

  /// `term`: that of the lease which this VM holds, or 0. `may_act`: whether the lease was
  /// confirmed recently enough to act on it.
  bool MayCall(std::uint64_t term, bool may_act, time_point now);

 private:
  const milliseconds takeover_wait_;
  std::uint64_t term_ = 0;
  /// When the term was first seen; not before it began.
  time_point term_seen_at_{};
};

}  // namespace waxwingwing
