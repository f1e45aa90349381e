#include "waxwingwing/directory/read_pace.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Groups change in steps of 0.2 s and more.
constexpr milliseconds kOrderingInterval{150};
/// A server that was replaced registers within a second; so does the group that is formed anew.
constexpr milliseconds kSurprisedInterval{300};
constexpr milliseconds kSurprisedTime{1200};
/// Two reads, of which the first gets no answer, fit into the time for which a leaving server may
/// get requests.
constexpr double kLeavingPart = 0.4;

}  // namespace

milliseconds read_pace::Interval(bool orders_servers, time_point now) const {
  if (orders_servers) return kOrderingInterval;
  const auto usual = std::chrono::duration_cast<milliseconds>(leaving_limit_ * kLeavingPart);
  if (!surprised_at_ || now - *surprised_at_ > kSurprisedTime) return usual;
  return std::min(usual, kSurprisedInterval);
}

}  // namespace waxwingwing
