#pragma once

#include <cstdint>
#include <deque>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing::stand_ins {

/// Tracks the requests and KV cache tokens that an engine holds, their limits, and the load that
/// the engine's status reports.
class engine_load {
 public:
  struct amounts {
    std::uint64_t requests = 0;
    std::uint64_t kv_tokens = 0;
  };

  /// Limits of an engine. The request limit rises from `cold_requests` to `max_requests` over
  /// `warm_up`.
  struct limits {
    std::uint64_t cold_requests = 0;
    std::uint64_t max_requests = 0;
    milliseconds warm_up{0};
    std::uint64_t kv_tokens = 0;
  };

  engine_load(const limits& maximum, milliseconds report_lag)
      : limits_(maximum), report_lag_(report_lag) {}

  void Add(std::uint64_t kv_tokens, time_point now);
  void Remove(std::uint64_t kv_tokens, time_point now);

  const amounts& held() const { return held_; }
  const amounts& peak() const { return peak_; }
  /// Returns the load that the status shows at `now`: the load that was held `report_lag` earlier.
  amounts Reported(time_point now);

  /// Returns the request limit at this time after the engine was cold; it rises linearly over the
  /// warm-up time.
  std::uint64_t RequestLimit(milliseconds since_cold) const;
  std::uint64_t kv_limit() const { return limits_.kv_tokens; }

 private:
  struct sample {
    time_point at;
    amounts held;
  };

  limits limits_;
  milliseconds report_lag_;
  amounts held_;
  amounts peak_;
  amounts reported_;
  std::deque<sample> history_;
};

}  // namespace waxwingwing::stand_ins
