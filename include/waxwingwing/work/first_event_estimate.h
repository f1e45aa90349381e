#pragma once

#include "waxwingwing/directory/engine_settings.h"
#include "waxwingwing/work/engine_profile.h"
#include "waxwingwing/work/request_cost.h"

namespace waxwingwing {

/// What is known about a group when a request is about to be sent there.
struct group_load {
  /// Requests of all VMs at the group, and how uncertain their number is (standard deviation).
  double running = 0;
  double running_deviation = 0;
  /// Requests that the group runs concurrently.
  double slots = 1;
  outstanding_work work;
  /// Observed decoding time relative to the expected one.
  double slowdown = 1;
};

/// Expected time of one decoding step of the group.
fractional_milliseconds ExpectedStepTime(const engine_profile& engine, const group_load& load);

/// Expected time until a request of this cost gets its first event at the group: it waits for a
/// free place, for the prefill ahead of it and for its own, and for the running pass.
fractional_milliseconds ExpectedFirstEvent(const engine_profile& engine, const request_cost& cost,
                                           const group_load& load);

/// Expected delay that the request causes to others: to those at the group, divided among its
/// slots, and to those that arrive while it takes a place there.
fractional_milliseconds ExpectedDelayOfOthers(const engine_profile& engine,
                                              const request_cost& cost, const group_load& load);

/// Standard deviation of the number of other VMs' requests. `others`: as reported; `turnaround`:
/// mean time that a request stays; `age`: time since the report.
double DeviationOfOthers(double others, fractional_milliseconds turnaround,
                         fractional_milliseconds age);

}  // namespace waxwingwing
