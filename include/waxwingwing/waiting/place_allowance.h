#pragma once

#include <cstddef>

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// How many of the places that the reports of the other VMs show as free this VM may take.
///
/// All VMs see the same free places, some hundred milliseconds late. Without a limit each VM with a
/// line would fill them, and the surplus would queue at the servers. A VM therefore takes its share
/// of them in the time of one report, and replaces its own requests that end.
class place_allowance {
 public:
  /// Adds what the VM may take since the last call. `free`: places shown as free; `share`: this
  /// VM's part of all VMs, in (0, 1].
  void Refill(std::size_t free, double share, time_point now);
  /// Adds the place of a request of this VM that ended, but for the part that is left to the
  /// requests that queue at the servers, 0 to 1.
  void AddOwnPlace(double part_left) { allowed_ += 1 - part_left; }
  bool MayTake() const { return allowed_ >= 1; }
  void Take() { allowed_ = allowed_ > 1 ? allowed_ - 1 : 0; }

 private:
  double allowed_ = 1;
  time_point refilled_at_{};
};

}  // namespace waxwingwing
