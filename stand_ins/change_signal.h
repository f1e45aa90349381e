#pragma once

#include <set>

#include "stand_ins/asio.h"

namespace waxwingwing::stand_ins {

/// Wakes coroutines that wait for a change of state, like a condition variable. All calls must come
/// from one thread.
class change_signal {
 public:
  change_signal() = default;
  change_signal(const change_signal&) = delete;
  change_signal& operator=(const change_signal&) = delete;

  /// Suspends the caller until the next call of `Notify` or until `deadline`.
  awaitable<void> Wait(time_point deadline);
  /// Wakes the coroutines that wait now; later calls of `Wait` are not affected.
  void Notify();

 private:
  std::set<asio::steady_timer*> waiting_;
};

}  // namespace waxwingwing::stand_ins
