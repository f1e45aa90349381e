#pragma once

#include <mutex>

namespace waxwingwing {

/// Token bucket that bounds retries to a fraction of recent requests, so that an outage does not
/// multiply the load. Safe for use by several threads.
class retry_budget {
 public:
  /// `fraction` is the number of retries allowed per request; `burst` is the most that can be
  /// saved up.
  retry_budget(double fraction, double burst);

  void RecordRequest();
  /// Changes the most that can be saved up; what is saved beyond it is lost.
  void SetBurst(double burst);
  /// Takes one retry from the budget; false when it is used up.
  bool TryTake();

 private:
  const double fraction_;
  double burst_;
  std::mutex mutex_;
  double balance_;
};

}  // namespace waxwingwing
