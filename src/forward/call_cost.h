#pragma once

#include <cstddef>
#include <optional>

#include "forward/work_meter.h"
#include "waxwingwing/work/output_length_estimator.h"

namespace waxwingwing {

/// Estimates the cost of one request of a caller and learns from its end.
///
/// The cost is known when the service's configuration states the times of its groups and the
/// request states the size of its prompt.
class call_cost {
 public:
  /// Estimates the cost of what is left of the request; does nothing when that has not changed.
  void Estimate(const forward_core& core, const traffic_configuration& configuration,
                const service_id& service, const request_metadata& metadata,
                const output_class& kind);
  /// What the selection compares groups by; refers to this object.
  selection_work work() const;
  /// The expected work at a server that was selected.
  std::optional<exchange_work> WorkAt(forward_core& core, const dispatch_candidate& server);
  /// Records events that were forwarded to the caller.
  void RecordEvents(std::size_t events);
  /// Records the end of the request. `complete`: whether the output has come to its end.
  void RecordEnd(forward_core& core, bool complete);

  /// Expected time to the first event at the last server; zero when it is not known.
  fractional_milliseconds expected_first_event() const { return expected_first_event_; }
  /// Expected length of the whole output; 0 when it is not known.
  token_count expected_output() const { return expected_output_; }

 private:
  std::optional<engine_profile> engine_;
  std::optional<request_cost> cost_;
  output_class kind_;
  request_size size_;
  token_count usual_;
  token_count expected_output_;
  fractional_milliseconds expected_first_event_{0};
  std::size_t events_ = 0;
  bool is_current_ = false;
  /// Whether the caller had received a part of the output before.
  bool is_continued_ = false;
};

}  // namespace waxwingwing
