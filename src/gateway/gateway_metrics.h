#pragma once

#include <string_view>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/metrics/metrics_registry.h"

namespace waxwingwing {

/// Metrics of the request path. Thread-safe.
class gateway_metrics {
 public:
  explicit gateway_metrics(metrics_registry& registry);

  /// `kind` is `model` or `service`.
  void CountRequest(const organisation_id& organisation, std::string_view kind,
                    std::string_view name);
  void CountRefusal(std::string_view reason);
  void CountRetry(std::string_view reason);
  /// Counts a response or event that was dropped because it does not belong to the attempt.
  void CountDropped(std::string_view reason);
  void CountAttempt() { attempts_.Increment(); }
  void CountCancelled() { cancelled_.Increment(); }
  void ObserveFirstTokenLatency(duration since_arrival);
  void ObserveInterTokenLatency(duration since_last);
  void SetBuffered(const organisation_id& organisation, std::int64_t bytes);
  void SetBufferedTotal(std::int64_t bytes) { buffered_total_.Set(bytes); }

  gauge& connections() { return connections_; }
  gauge& running() { return running_; }
  std::string ToText() const { return registry_.ToText(); }

 private:
  metrics_registry& registry_;
  counter& attempts_;
  counter& cancelled_;
  gauge& connections_;
  gauge& running_;
  gauge& buffered_total_;
  quantile_summary& first_token_latency_;
  quantile_summary& inter_token_latency_;
};

}  // namespace waxwingwing
