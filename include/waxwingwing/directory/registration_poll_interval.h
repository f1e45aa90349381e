#pragma once

#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Determines the poll interval at which a VM reads the registrations of backend servers.
///
/// Registrations change constantly, so a long poll would return immediately, and each call to the
/// store has a cost. A VM polls frequently while it sends orders to servers or after it has found a
/// server in another state than its registration says, and otherwise just often enough to learn in
/// time which servers are leaving.
class registration_poll_interval {
 public:
  /// `leaving_limit`: time after a server's notice at which it may get no more requests.
  explicit registration_poll_interval(milliseconds leaving_limit) : leaving_limit_(leaving_limit) {}

  /// Records that a server did not match its registration, or that no server was found.
  void RecordMismatch(time_point now) { mismatch_at_ = now; }
  /// Time from the end of one read to the next.
  milliseconds Interval(bool orders_servers, time_point now) const;

 private:
  const milliseconds leaving_limit_;
  std::optional<time_point> mismatch_at_;
};

/// Longest wait of one long poll of the operators' records.
///
/// The store does not always wake a waiting read for a new record, so that the next read must find
/// it within `configuration_limit`; and each answer confirms that keys are current, which are
/// trusted for at most `revoke_limit` after a confirmation.
milliseconds LongestConfigurationWait(milliseconds configuration_limit, milliseconds revoke_limit);

}  // namespace waxwingwing
