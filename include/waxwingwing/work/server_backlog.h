#pragma once

#include <cstdint>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/engine_settings.h"
#include "waxwingwing/work/request_cost.h"

namespace waxwingwing {

/// A request of this VM at a server, with the work that it has still to cause there.
struct request_progress {
  outstanding_work left;
  bool begun = false;
};

/// Work that one server has still to do: that of this VM's requests, which shrinks as events
/// arrive, and that of other VMs' requests, as reported.
class server_backlog {
 public:
  /// Adds a request that was sent to the server.
  request_progress Add(const request_cost& cost);
  /// Records output of a request: its prefill is done. A request that outlives its estimate still
  /// has as many steps ahead as it takes for one event.
  void Advance(request_progress& request, std::uint64_t steps, std::uint64_t steps_per_event);
  /// Records the end of a request.
  void Remove(const request_progress& request);
  /// Records the time of one decoding step of a stream, and how long it was expected to be.
  void RecordStepTime(fractional_milliseconds observed, fractional_milliseconds expected,
                      time_point now);
  /// Sets the work of all other VMs' requests, as reported at `now`.
  void SetOthers(const outstanding_work& work, time_point now);

  const outstanding_work& own() const { return own_; }
  /// Work of other VMs' requests; none when it was not reported recently. Their prefill has
  /// advanced since the report.
  outstanding_work others(time_point now) const;
  /// Age of the report about other VMs; nothing when there is no recent one.
  std::optional<duration> ReportAge(time_point now) const;
  /// Median of the observed decoding time relative to the expected one: above 1 while the server is
  /// slow; 1 when no stream of this VM has run there for long.
  double Slowdown(time_point now) const;

 private:
  outstanding_work own_;
  outstanding_work others_;
  std::optional<time_point> reported_at_;
  double slowdown_ = 1;
  std::optional<time_point> step_observed_at_;
};

}  // namespace waxwingwing
