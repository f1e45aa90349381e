#pragma once

#include <cstddef>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Time limits and bounds of forwarding.
struct forward_options {
  /// Longest wait for a connection to a backend server: two retransmissions within a region.
  milliseconds connect_limit{300};
  /// Idle connections to one backend server.
  std::size_t max_idle_connections = 12;
  /// Longest use of an idle connection when the server states no limit.
  milliseconds idle_connection_limit{4000};
  /// A connection is not reused this close to the server's own limit: a request must not cross the
  /// server's close.
  milliseconds idle_margin{500};
  /// Streams whose first event does not come within this time are tried elsewhere; callers leave
  /// after 2 s.
  milliseconds first_event_limit{900};
  /// A request is stuck when others that were sent this much later have begun.
  milliseconds overtaken_margin{300};
  /// Silence of a server's streams after which they are moved. A stream that moves is late in any
  /// case, so a silence that passes by itself must not move it; callers leave after 2 s.
  milliseconds move_limit{500};
  /// Part of a route's timeout after which an idempotent request is tried elsewhere.
  double repeat_after = 0.45;
  /// How long a server that could not be reached, or stands still, gets nothing.
  milliseconds suspension{1000};
  /// How long a server that had no room gets nothing.
  milliseconds full_suspension{60};
  /// Part of a route's objective for which a request waits for a place at a server: it still begins
  /// in time after that.
  double waiting_part = 0.3;
  /// Sends of one request, counting those that a server rejected.
  std::size_t max_sends = 4;
  /// Bytes that wait for one slow caller before the server's stream is read no further.
  std::size_t caller_buffer = std::size_t{64} * 1024;
  std::size_t max_answer = std::size_t{16} << 20U;
  std::size_t max_event = std::size_t{64} * 1024;
  /// How often stalls and time limits are checked.
  milliseconds tick{20};
  /// Connections of callers at a time; descriptors are left for backend servers.
  std::size_t max_callers = 2400;
};

}  // namespace waxwingwing
