#include "waxwingwing/directory/registration_poll_interval.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Steps of group formation take 0.2 s or more, so this interval misses none of them.
constexpr milliseconds kOrderingInterval{150};
/// A server that replaces another one registers within a second, and so does a group that is formed
/// again.
constexpr milliseconds kMismatchInterval{300};
constexpr milliseconds kMismatchTime{1200};
/// Fraction of the leaving limit: two reads, of which the first gets no answer, fit into the time
/// for which a leaving server may get requests.
constexpr double kLeavingFraction = 0.4;

/// Time for the answer of a read to arrive and to take effect, including on a busy VM.
constexpr milliseconds kAnswerMargin{500};
/// Fraction of the revoke limit: a read that gets no answer and its retry fit into the time for
/// which keys are trusted.
constexpr double kConfirmationFraction = 0.5;
constexpr milliseconds kShortestConfigurationWait{200};

}  // namespace

milliseconds registration_poll_interval::Interval(bool orders_servers, time_point now) const {
  if (orders_servers) return kOrderingInterval;
  const auto usual = std::chrono::duration_cast<milliseconds>(leaving_limit_ * kLeavingFraction);
  if (!mismatch_at_ || now - *mismatch_at_ > kMismatchTime) return usual;
  return std::min(usual, kMismatchInterval);
}

milliseconds LongestConfigurationWait(milliseconds configuration_limit, milliseconds revoke_limit) {
  const auto confirmed =
      std::chrono::duration_cast<milliseconds>(revoke_limit * kConfirmationFraction);
  return std::max(kShortestConfigurationWait,
                  std::min(configuration_limit - kAnswerMargin, confirmed));
}

}  // namespace waxwingwing
