#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingwing {

/// Label names and values of one time series, in the order in which they are printed.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Counts events since the process started. Thread-safe.
class counter {
 public:
  void Increment(std::uint64_t by = 1) { value_.fetch_add(by, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Value that can increase and decrease. Thread-safe.
class gauge {
 public:
  void Set(std::int64_t level) { value_.store(level, std::memory_order_relaxed); }
  void Add(std::int64_t step) { value_.fetch_add(step, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Estimates the 50th, 95th and 99th percentile of observed durations, in seconds. Thread-safe.
class quantile_summary {
 public:
  quantile_summary();
  ~quantile_summary();
  quantile_summary(const quantile_summary&) = delete;
  quantile_summary& operator=(const quantile_summary&) = delete;

  void Observe(double seconds);
  std::uint64_t Count() const;
  double Sum() const;
  /// Returns the quantile at `fraction`, which must be 0.5, 0.95 or 0.99; 0 when no value was
  /// observed.
  double Quantile(double fraction) const;

 private:
  struct state;
  mutable std::mutex mutex_;
  std::unique_ptr<state> state_;
};

/// Owns all metrics of the process and exports them in the Prometheus text format. Thread-safe.
///
/// Returned references stay valid for the lifetime of the registry. On hot paths, look a metric up
/// once and keep the reference, since each look-up takes a lock.
class metrics_registry {
 public:
  metrics_registry() = default;
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  counter& Counter(std::string_view name, const metric_labels& labels = {});
  gauge& Gauge(std::string_view name, const metric_labels& labels = {});
  quantile_summary& Summary(std::string_view name, const metric_labels& labels = {});

  /// Values of the counters with this name whose only label is `label`, by the value of the label.
  /// Label values are escaped, as in the text format.
  std::map<std::string, std::uint64_t> CountersBy(std::string_view name,
                                                  std::string_view label) const;

  std::string ToText() const;

 private:
  template <typename metric>
  using family = std::map<std::string, std::map<std::string, std::unique_ptr<metric>>>;

  mutable std::mutex mutex_;
  family<counter> counters_;
  family<gauge> gauges_;
  family<quantile_summary> summaries_;
};

}  // namespace waxwingwing
