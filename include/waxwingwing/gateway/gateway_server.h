#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/snapshot_cell.h"
#include "waxwingwing/gateway/control_access.h"
#include "waxwingwing/gateway/gateway_settings.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/routing/replica_selector.h"
#include "waxwingwing/routing/retry_budget.h"
#include "waxwingwing/routing/routing_snapshot.h"

namespace waxwingwing {

/// Objects of the process that the gateway uses. All of them must outlive the gateway.
struct gateway_dependencies {
  const snapshot_cell<routing_snapshot>& snapshots;
  control_access& control;
  retry_budget& retries;
  metrics_registry& metrics;
  /// Creates the selector of a model group or service; called once for each, from request threads.
  std::function<std::unique_ptr<replica_selector>()> make_selector;
};

/// The HTTP server for callers, the balancer and operators, with its request threads.
///
/// Usage: `Start`, then for a graceful shutdown `BeginShutdown`, `StopAccepting`, `WaitIdle`. The
/// destructor aborts the remaining requests.
class gateway_server {
 public:
  gateway_server(const gateway_settings& settings, const gateway_dependencies& dependencies);
  gateway_server(const gateway_server&) = delete;
  gateway_server& operator=(const gateway_server&) = delete;
  ~gateway_server();

  /// Binds the address and starts the request threads. Returns the bound `ip:port` or the error.
  result<std::string> Start();

  /// Reports not ready and closes each connection after its next answer.
  void BeginShutdown();
  /// Refuses new connections; connections that already wait to be accepted are still served.
  void StopAccepting();
  /// Closes idle connections and waits until all others have ended. Returns false when connections
  /// are left at the deadline. Call after `StopAccepting`.
  bool WaitIdle(time_point deadline);

  /// Number of requests in progress.
  std::uint32_t RunningRequests() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace waxwingwing
