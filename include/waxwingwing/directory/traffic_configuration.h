#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/directory/engine_settings.h"

namespace waxwingwing {

/// How often a request may be executed; derived from the kind of its route.
enum class repeat_rule {
  /// May be executed any number of times.
  kIdempotent,
  /// May be executed at most once for each attempt of the caller.
  kOnce,
  /// Answered by a stream of numbered events; see `traffic_route::resumable`.
  kStream,
};

/// One of the services among which a route divides its requests by weight.
struct service_share {
  service_id service;
  double weight = 1;
};

/// Rules for requests to one host and path prefix.
struct traffic_route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  repeat_rule repeat = repeat_rule::kOnce;
  /// Time-out for the whole request.
  milliseconds timeout{1000};
  /// Latency objective for the answer, or for the first event of a stream: an answer within this
  /// time has its full value.
  milliseconds objective{1000};
  /// Objective for the inter-token latency, the longest time between two events of a stream that is
  /// on time; 0: none is set.
  milliseconds inter_token_objective{0};
  /// Priority of the requests; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Largest number of backend servers to which one attempt of a caller may be sent.
  std::uint32_t max_attempts = 1;
  /// Whether requests are accepted without an API key.
  bool anonymous = false;
  /// Whether another backend server can resume a stream after its last event.
  bool resumable = false;
  /// Services with a weight above 0; empty: requests run nowhere.
  std::vector<service_share> services;

  /// Whether a request that may have been executed may be executed again.
  bool MayRepeat() const {
    return repeat == repeat_rule::kIdempotent || (repeat == repeat_rule::kStream && resumable);
  }
};

/// A model that is served by groups of backend servers of a service.
struct model_settings {
  std::string name;
  /// Number of backend servers in a group.
  std::size_t group_size = 1;
  /// Expected share of the service's work.
  double share = 1;
  /// Factor on all times of the model's groups.
  double pace = 1;
};

/// Settings that apply to all backend servers of a service.
struct service_settings {
  service_id id;
  /// Connections that a backend server accepts from all callers together.
  std::size_t max_connections = 0;
  /// Capacity of a cold backend server, in requests a second; 0: no limit.
  double cold_rate = 0;
  /// Path at which a server answers whether it is healthy; empty when it has none.
  std::string health_path;
  /// Number of requests that one group runs concurrently.
  std::size_t group_slots = 0;
  /// Times of the service's groups; absent when the configuration does not state them.
  std::optional<engine_settings> engine;
  /// Models of the service; empty for plain services, which have none.
  std::vector<model_settings> models;

  const model_settings* ModelByName(std::string_view name) const;
};

/// An organisation whose callers share API keys and a priority.
struct caller_organisation {
  organisation_id id;
  std::optional<std::uint32_t> priority;
};

/// Limits on the size and duration of what a caller sends.
struct caller_limits {
  byte_count max_header{16384};
  byte_count max_body{std::uint64_t{4} << 20U};
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One version of the operators' configuration: routes, services and organisations. Immutable once
/// built.
class traffic_configuration {
 public:
  std::uint64_t version = 0;
  caller_limits limits;

  void AddRoute(traffic_route route);
  void AddService(service_settings service);
  /// States that requests need the key of an organisation, also while there is none.
  void RequireKeys() { needs_keys_ = true; }
  void AddOrganisation(caller_organisation organisation, const std::vector<std::string>& keys);

  /// Returns the route of `host` with the longest prefix of `path`; null when none matches.
  const traffic_route* Match(std::string_view host, std::string_view path) const;
  /// Returns the organisation to which the API key `key` belongs; null when there is none.
  const caller_organisation* OrganisationOf(std::string_view key) const;
  const service_settings* ServiceById(const service_id& id) const;
  /// Whether the routes to the service differ in priority.
  bool HasPriorities(const service_id& service) const;
  const std::vector<service_settings>& services() const { return services_; }
  /// Whether requests to routes that are not anonymous require an API key.
  bool NeedsKeys() const { return needs_keys_; }
  std::size_t OrganisationCount() const { return organisations_.size(); }
  std::size_t RouteCount() const { return route_count_; }

 private:
  std::unordered_map<std::string, std::vector<traffic_route>> routes_by_host_;
  std::vector<service_settings> services_;
  bool needs_keys_ = false;
  std::vector<caller_organisation> organisations_;
  std::unordered_map<std::string, std::size_t> organisation_by_key_;
  std::map<service_id, std::set<std::uint32_t>> route_priorities_;
  std::size_t route_count_ = 0;
};

}  // namespace waxwingwing
