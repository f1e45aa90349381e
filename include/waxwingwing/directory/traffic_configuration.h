#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// How often a request may run, from the kind of its route.
enum class repeat_rule {
  /// May run any number of times.
  kIdempotent,
  /// May run at most once for each attempt of the caller.
  kOnce,
  /// Answered by a series of numbered events; see `traffic_route::resumable`.
  kStream,
};

/// One of the services between which a route divides its requests.
struct service_share {
  service_id service;
  double weight = 1;
};

/// Where requests to a host and path go.
struct traffic_route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  repeat_rule repeat = repeat_rule::kOnce;
  /// Longest time that a request may be held.
  milliseconds timeout{1000};
  /// Time to the answer, or to the first event, within which it has its full value.
  milliseconds objective{1000};
  /// Longest pause between events of a stream that is on time; 0: none is stated.
  milliseconds pause_objective{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Most backend servers that one attempt of a caller may be sent to.
  std::uint32_t max_attempts = 1;
  /// Whether requests need no key.
  bool anonymous = false;
  /// Whether another backend server can continue a stream after its last event.
  bool resumable = false;
  /// Regions in which requests may run; empty: all.
  std::vector<std::string> regions;
  std::vector<service_share> services;

  /// Whether a request may run again after it may have run.
  bool MayRepeat() const {
    return repeat == repeat_rule::kIdempotent || (repeat == repeat_rule::kStream && resumable);
  }
};

/// A model that groups of backend servers of a service can serve.
struct model_settings {
  std::string name;
  /// Backend servers in a group.
  std::size_t group_size = 1;
  /// Expected part of the service's work.
  double share = 1;
};

/// What a service's backend servers have in common.
struct service_settings {
  service_id id;
  /// Connections that a backend server accepts from all callers together.
  std::size_t max_connections = 0;
  /// Requests a second that a cold backend server bears.
  double cold_rate = 0;
  /// Requests that one group runs at a time.
  std::size_t group_slots = 0;
  /// Empty for plain services.
  std::vector<model_settings> models;

  const model_settings* ModelByName(std::string_view name) const;
};

/// Callers who share keys and a priority.
struct caller_organisation {
  organisation_id id;
  std::optional<std::uint32_t> priority;
  std::vector<std::string> regions;
};

/// Bounds on what a caller may send.
struct caller_limits {
  byte_count max_header{16384};
  byte_count max_body{std::uint64_t{4} << 20U};
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One version of the operators' configuration; immutable once built.
class traffic_configuration {
 public:
  std::uint64_t version = 0;
  caller_limits limits;

  void AddRoute(traffic_route route);
  void AddService(service_settings service);
  void AddOrganisation(caller_organisation organisation, const std::vector<std::string>& keys);

  /// The route with the longest prefix of `path` among those of `host`; null when there is none.
  const traffic_route* Match(std::string_view host, std::string_view path) const;
  /// The organisation that holds `key`; null when none does.
  const caller_organisation* OrganisationOf(std::string_view key) const;
  const service_settings* ServiceById(const service_id& id) const;
  const std::vector<service_settings>& services() const { return services_; }
  /// Whether requests to routes that are not anonymous need a key.
  bool NeedsKeys() const { return !organisations_.empty(); }
  std::size_t RouteCount() const { return route_count_; }

 private:
  std::unordered_map<std::string, std::vector<traffic_route>> routes_by_host_;
  std::vector<service_settings> services_;
  std::vector<caller_organisation> organisations_;
  std::unordered_map<std::string, std::size_t> organisation_by_key_;
  std::size_t route_count_ = 0;
};

}  // namespace waxwingwing
