#pragma once

#include <cstddef>

#include "waxwingwing/core/ingress_budget.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Time limits and resource limits of request forwarding.
struct forward_options {
  /// Connect time-out of a backend server; leaves time for two retransmissions within a region.
  milliseconds connect_limit{300};
  /// Maximum number of idle connections that are kept to one backend server.
  std::size_t max_idle_connections = 12;
  /// How long an idle connection may be reused when the server states no limit.
  milliseconds idle_connection_limit{4000};
  /// Connections are not reused within this time before the server's own idle limit, because a
  /// request could be in transit while the server closes the connection.
  milliseconds idle_margin{500};
  /// First-event time-out of a stream, after which the request is retried on another server;
  /// callers disconnect after 2 s.
  milliseconds first_event_limit{900};
  /// A request counts as stuck when requests that were sent this much later have started.
  milliseconds overtaken_margin{300};
  /// Time without events on a server's streams after which they are migrated. A migration delays
  /// the stream in any case, so a short stall that ends by itself must not trigger one; callers
  /// disconnect after 2 s.
  milliseconds migration_limit{500};
  /// Fraction of a route's time-out after which an idempotent request is retried on another server.
  double retry_fraction = 0.45;
  /// How long an unreachable or stalled server receives no requests.
  milliseconds suspension{1000};
  /// How long a server that refused a request for lack of capacity receives no requests.
  milliseconds full_suspension{60};
  /// Fraction of a route's latency objective for which a request waits for free capacity on a
  /// server; the response can still start within the objective after that.
  double queue_wait_fraction = 0.3;
  /// Interval at which a waiting request looks for capacity; it also does so when a request of this
  /// VM ends.
  milliseconds capacity_check_interval{40};
  /// How long a stream that broke off waits for a server that can resume it; callers disconnect
  /// after 2 s without an event.
  milliseconds resume_wait{1200};
  /// Maximum number of times that one request is sent, including sends that a server rejected.
  std::size_t max_sends = 4;
  /// Unsent bytes for one slow caller above which reading from the server's stream is paused.
  std::size_t max_unsent_bytes = std::size_t{64} * 1024;
  /// Maximum body size of a backend server's response, in bytes.
  std::size_t max_response_bytes = std::size_t{16} << 20U;
  /// Size up to which the body of a response is buffered in any case, in bytes, and maximum size of
  /// all buffered bodies together, which larger ones must not exceed. Some hundred requests to
  /// servers that send without end must stay far below a process's memory limit.
  std::size_t small_response_bytes = std::size_t{64} * 1024;
  std::size_t max_buffered_bytes = std::size_t{32} << 20U;
  /// Maximum size of one stream event, in bytes.
  std::size_t max_event_bytes = std::size_t{64} * 1024;
  /// Interval between checks for stalls and expired time limits.
  milliseconds check_interval{20};
  /// Maximum number of concurrent caller connections; leaves file descriptors for connections to
  /// backend servers.
  std::size_t max_callers = 2400;
  /// Bounds on the bytes that are held for all callers together.
  ingress_limits ingress;
};

}  // namespace waxwingwing
