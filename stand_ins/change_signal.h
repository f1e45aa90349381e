#pragma once

#include <set>

#include "stand_ins/asio.h"

namespace waxwingwing::stand_ins {

/// Wakes coroutines that wait for a change of state; for use on one thread.
class change_signal {
 public:
  change_signal() = default;
  change_signal(const change_signal&) = delete;
  change_signal& operator=(const change_signal&) = delete;

  /// Returns after the next call of `Notify`, or at `deadline`.
  awaitable<void> Wait(time_point deadline);
  void Notify();

 private:
  std::set<asio::steady_timer*> waiting_;
};

}  // namespace waxwingwing::stand_ins
