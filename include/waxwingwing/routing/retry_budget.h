#pragma once

#include <mutex>

namespace waxwingwing {

/// Token bucket that limits retries to a fraction of recent requests, so that an outage does not
/// multiply the load. Thread-safe.
class retry_budget {
 public:
  /// `fraction` is the number of retries that each request adds to the budget; `burst` is the
  /// capacity of the bucket, which is full at the start.
  retry_budget(double fraction, double burst) : retry_budget(fraction, burst, burst) {}
  /// The same with `balance` retries at the start.
  retry_budget(double fraction, double burst, double balance);

  /// Adds the retries allowed for one request, up to the capacity.
  void RecordRequest();
  /// Changes the capacity of the bucket; accumulated retries above the new capacity are lost, and
  /// additional capacity is empty.
  void SetBurst(double burst);
  /// Takes one retry from the budget; returns false when the budget is exhausted.
  bool TryTake();
  /// Number of retries that can be taken now.
  double balance() const;

 private:
  const double fraction_;
  double burst_;
  mutable std::mutex mutex_;
  double balance_;
};

}  // namespace waxwingwing
