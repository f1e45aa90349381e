#include "waxwingwing/waiting/place_allowance.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Interval at which the VMs report their requests to each other.
constexpr std::chrono::duration<double> kReportInterval{0.2};
/// Places of the VM's own ended requests that it keeps for requests that arrive later.
constexpr double kKept = 2;

}  // namespace

void place_allowance::Refill(std::size_t free, double share, time_point now) {
  const double per_report = static_cast<double>(free) * share;
  const double reports = std::chrono::duration<double>(now - refilled_at_) / kReportInterval;
  refilled_at_ = now;
  allowed_ = std::min(allowed_ + per_report * std::clamp(reports, 0.0, 1.0), kKept + per_report);
}

}  // namespace waxwingwing
