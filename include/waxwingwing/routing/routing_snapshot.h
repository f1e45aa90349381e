#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "waxwingwing/admission/backend_budget.h"
#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A replica, or one backend server of a plain service, as request threads see it.
struct backend_view {
  /// Empty for plain services.
  replica_id replica;
  waxwingwing::generation generation;
  /// The VM that takes requests: the member of rank 0, or the service VM.
  vm_id vm;
  waxwingwing::incarnation incarnation;
  std::string address;
  failure_domain_id failure_domain;
  /// Every member confirmed the replica recently, no member is leaving, and its domain is in.
  bool routable = false;
  /// From the last report; lags.
  request_count reported_running;
  double ms_per_token = 0;
  time_point reported_at{};
  std::shared_ptr<backend_budget> budget;
};

/// The control thread publishes ten times a second. An older snapshot shows that the process was
/// paused, so that its state may be out of date and its credits may have expired.
inline constexpr milliseconds kSnapshotLifetime{1000};

/// Everything a request needs for its decisions. Immutable; replaced as a whole by the control
/// thread.
struct routing_snapshot {
  /// When the control thread published this; see `kSnapshotLifetime`.
  time_point published_at{};
  /// Offset up to which the control stream is applied; the configuration in force.
  log_offset control_offset;
  bool has_configuration = false;
  /// True while new work must not be dispatched: after a pause of the process until it has caught
  /// up, or in a domain that is cut off and configured to stop.
  bool dispatch_suspended = false;
  /// False when the balancer should send callers elsewhere.
  bool ready = false;
  failure_domain_id own_domain;
  waxwingwing::configuration configuration;
  std::map<model_group_id, std::vector<backend_view>> replicas;
  std::map<service_id, std::vector<backend_view>> services;
};

}  // namespace waxwingwing
