#include "waxwingwing/work/server_backlog.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Age at which a report of other VMs is outdated: four report intervals.
constexpr milliseconds kMaxReportAge{1000};
/// Mean time until the content of a VM's report arrives at the others through the controller: each
/// of two or three hops waits half a report interval.
constexpr milliseconds kReportDelay{250};
/// Time without an event after which a group is assumed to work as fast as expected again, so that
/// one that has recovered is tried.
constexpr milliseconds kSlowdownLifetime{5000};
/// Factor by which one observation changes the slowdown. It follows the median, which the prefill
/// of a single long prompt does not move; 15 observations learn a factor of two.
constexpr double kSlowdownStep = 1.05;
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 10;

}  // namespace

request_progress server_backlog::Add(const request_cost& cost) {
  request_progress request;
  request.left = {cost.prefill, cost.decode_steps, cost.memory};
  own_ += request.left;
  return request;
}

void server_backlog::Advance(request_progress& request, std::uint64_t steps,
                             std::uint64_t steps_per_event) {
  own_ -= request.left;
  request.begun = true;
  request.left.prefill = microseconds(0);
  const std::uint64_t left = request.left.decode_steps - std::min(request.left.decode_steps, steps);
  request.left.decode_steps = std::max(left, steps_per_event);
  own_ += request.left;
}

void server_backlog::Remove(const request_progress& request) { own_ -= request.left; }

void server_backlog::RecordStepTime(fractional_milliseconds observed,
                                    fractional_milliseconds expected, time_point now) {
  if (expected.count() <= 0) return;
  const double known = Slowdown(now);
  const double changed =
      observed > expected * known ? known * kSlowdownStep : known / kSlowdownStep;
  slowdown_ = std::clamp(changed, kMinSlowdown, kMaxSlowdown);
  step_observed_at_ = now;
}

void server_backlog::SetOthers(const outstanding_work& work, time_point now) {
  others_ = work;
  reported_at_ = now;
}

outstanding_work server_backlog::others(time_point now) const {
  const auto age = ReportAge(now);
  if (!age) return {};
  outstanding_work work = others_;
  const auto done = std::chrono::duration_cast<microseconds>(*age + kReportDelay);
  work.prefill -= std::min(work.prefill, done);
  return work;
}

std::optional<duration> server_backlog::ReportAge(time_point now) const {
  if (!reported_at_ || now - *reported_at_ > kMaxReportAge) return std::nullopt;
  return now - *reported_at_;
}

double server_backlog::Slowdown(time_point now) const {
  const bool is_recent = step_observed_at_ && now - *step_observed_at_ <= kSlowdownLifetime;
  return is_recent ? slowdown_ : 1;
}

}  // namespace waxwingwing
