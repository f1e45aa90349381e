#pragma once

#include <cstdint>
#include <deque>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing::stand_ins {

/// Requests and KV cache tokens that an engine holds, what it bears, and what it reports.
class engine_load {
 public:
  struct amounts {
    std::uint64_t requests = 0;
    std::uint64_t kv_tokens = 0;
  };

  struct limits {
    std::uint64_t cold_requests = 0;
    std::uint64_t max_requests = 0;
    milliseconds warm_up{0};
    std::uint64_t kv_tokens = 0;
  };

  engine_load(const limits& bears, milliseconds report_lag)
      : bears_(bears), report_lag_(report_lag) {}

  void Add(std::uint64_t kv_tokens, time_point now);
  void Remove(std::uint64_t kv_tokens, time_point now);

  const amounts& held() const { return held_; }
  const amounts& peak() const { return peak_; }
  /// What the status shows at `now`, that is, what was held `report_lag` before.
  amounts Reported(time_point now);

  /// Requests that the engine bears this long after it was cold; rises linearly over the warm-up
  /// time.
  std::uint64_t RequestLimit(milliseconds ready_for) const;
  std::uint64_t kv_limit() const { return bears_.kv_tokens; }

 private:
  struct sample {
    time_point at;
    amounts held;
  };

  limits bears_;
  milliseconds report_lag_;
  amounts held_;
  amounts peak_;
  amounts reported_;
  std::deque<sample> history_;
};

}  // namespace waxwingwing::stand_ins
