#pragma once

#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// How often a VM reads the registrations of backend servers.
///
/// Registrations change all the time, so that a long read returns at once, and each call to the
/// store is paid for. A VM reads often while it orders servers or has met one that is not as it is
/// registered, and otherwise just often enough to know in time of servers that leave.
class read_pace {
 public:
  /// `leaving_limit`: time after a server's notice at which it may get no more requests.
  explicit read_pace(milliseconds leaving_limit) : leaving_limit_(leaving_limit) {}

  /// A server was not as it is registered, or none was found.
  void Surprised(time_point now) { surprised_at_ = now; }
  /// Time from the end of one read to the next.
  milliseconds Interval(bool orders_servers, time_point now) const;

 private:
  const milliseconds leaving_limit_;
  std::optional<time_point> surprised_at_;
};

/// Longest wait of one read of the operators' records.
///
/// The store does not always wake a waiting read for a new record, so that the next read must find
/// it within `configuration_limit`; and each answer confirms that keys are current, which they are
/// taken for no longer than `revoke_limit`.
milliseconds LongestConfigurationWait(milliseconds configuration_limit, milliseconds revoke_limit);

}  // namespace waxwingwing
