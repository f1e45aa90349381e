#include "waxwingwing/work/first_event_estimate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace waxwingwing {
namespace {

/// Mean time from the sending of a VM's report until its content arrives at other VMs, through the
/// controller: each of two or three hops waits half a report interval.
constexpr fractional_milliseconds kReportDelay{250};

/// Probability that a normally distributed number is positive.
double PositiveProbability(double mean, double deviation) {
  return std::erfc(-mean / deviation / std::numbers::sqrt2) / 2;
}

/// Mean of the positive part of a normally distributed number.
double MeanPositivePart(double mean, double deviation) {
  if (deviation <= 0) return std::max(mean, 0.0);
  const double z = mean / deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  return deviation * density + mean * PositiveProbability(mean, deviation);
}

/// Mean number of decoding steps that the requests at the group have ahead. Lengths are spread so
/// widely that it is about that of a new request; estimates of single lengths scatter so much that
/// a full group of such requests is averaged in.
double MeanStepsLeft(const request_cost& cost, const group_load& load) {
  const auto expected = static_cast<double>(cost.decode_steps);
  if (load.work.decode_steps == 0) return expected;
  const auto outstanding = static_cast<double>(load.work.decode_steps);
  return (outstanding + load.slots * expected) / (load.running + load.slots);
}

/// Mean time between two places of a full group that become free.
fractional_milliseconds TimePerPlace(const engine_profile& engine, const request_cost& cost,
                                     const group_load& load) {
  return ExpectedStepTime(engine, load) * MeanStepsLeft(cost, load) / load.slots;
}

}  // namespace

fractional_milliseconds ExpectedStepTime(const engine_profile& engine, const group_load& load) {
  return engine.StepTime(std::min(load.running, load.slots), load.work.memory) * load.slowdown;
}

fractional_milliseconds ExpectedFirstEvent(const engine_profile& engine, const request_cost& cost,
                                           const group_load& load) {
  const fractional_milliseconds step = ExpectedStepTime(engine, load);
  const fractional_milliseconds pass = step * engine.steps_per_event();
  const double without_place =
      MeanPositivePart(load.running + 1 - load.slots, load.running_deviation);
  const fractional_milliseconds wait = without_place * TimePerPlace(engine, cost, load);
  const fractional_milliseconds running_pass = pass / 2 * std::min(load.running, 1.0);
  const fractional_milliseconds prefill = load.work.prefill + cost.prefill;
  return wait + running_pass + prefill + pass;
}

fractional_milliseconds ExpectedDelayOfOthers(const engine_profile& engine,
                                              const request_cost& cost, const group_load& load) {
  const fractional_milliseconds decoding =
      engine.StepTimeOf(cost) * static_cast<double>(cost.decode_steps);
  const double delayed = std::min(load.running, load.slots) / load.slots;
  // While the request stays, about as many others arrive as are there now. Each of them waits for
  // one more place if the group is full then.
  const double deviation = std::sqrt(std::max(load.running, 1.0));
  const double later = load.running * PositiveProbability(load.running + 1 - load.slots, deviation);
  return (fractional_milliseconds(cost.prefill) + decoding) * delayed +
         later * TimePerPlace(engine, cost, load);
}

double DeviationOfOthers(double others, fractional_milliseconds turnaround,
                         fractional_milliseconds age) {
  const double replaced =
      turnaround.count() > 0 ? std::min((age + kReportDelay) / turnaround, 1.0) : 1.0;
  // Independent departures and arrivals since the report; one more for those at the same time.
  return std::sqrt(1 + 2 * others * replaced);
}

}  // namespace waxwingwing
