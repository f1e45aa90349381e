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

/// State of a replica, or of one backend server of a plain service, that request threads route by.
struct backend_view {
  /// Empty for plain services.
  replica_id replica;
  waxwingwing::generation generation;
  /// The VM that receives the requests: the member of rank 0, or the VM of the plain service.
  vm_id vm;
  waxwingwing::incarnation incarnation;
  std::string address;
  failure_domain_id failure_domain;
  /// Every member confirmed the replica recently, no member is leaving, and its failure domain is
  /// in service.
  bool routable = false;
  /// Running requests in the server's last report; lags behind the actual number.
  request_count reported_running;
  /// Generation time; 0 when the server has not reported one.
  double ms_per_token = 0;
  time_point reported_at{};
  std::shared_ptr<backend_budget> budget;
};

/// Age from which a snapshot is stale. The control thread publishes ten times a second, so an older
/// snapshot shows that the process was paused: its state may be out of date and its credits may
/// have expired.
inline constexpr milliseconds kSnapshotLifetime{1000};

/// Configuration and backend state that a request is routed by. Immutable; the control thread
/// replaces it as a whole.
struct routing_snapshot {
  /// When the control thread published this snapshot; see `kSnapshotLifetime`.
  time_point published_at{};
  /// Offset up to which the control stream is applied, which identifies the current configuration.
  log_offset control_offset;
  bool has_configuration = false;
  /// True while new requests must not be dispatched: after a pause of the process until it has
  /// caught up with the log, or in a partitioned failure domain that is configured to stop.
  bool dispatch_suspended = false;
  /// False when the load balancer should send callers to other entry VMs.
  bool ready = false;
  failure_domain_id own_domain;
  waxwingwing::configuration configuration;
  std::map<model_group_id, std::vector<backend_view>> replicas;
  std::map<service_id, std::vector<backend_view>> services;
};

}  // namespace waxwingwing
