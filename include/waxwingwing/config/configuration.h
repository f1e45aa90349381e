#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

enum class domain_state { kIn, kOut };

/// How a partitioned failure domain, which can reach neither the platform nor any peer outside it,
/// handles new requests.
enum class cut_off_policy { kServe, kStop };

/// A failure domain and how its entry VMs behave when it is partitioned.
struct failure_domain_config {
  failure_domain_id id;
  std::string region;
  domain_state state = domain_state::kIn;
  /// Number of roster slots, which is the maximum number of entry VMs that share the static part of
  /// a limit.
  std::uint32_t entry_vms = 1;
  cut_off_policy when_cut_off = cut_off_policy::kServe;

  bool operator==(const failure_domain_config&) const = default;
};

/// Limits and scheduling weight of one organisation.
struct organisation_config {
  organisation_id id;
  /// 0 is the highest priority, served first; 9 is the lowest.
  std::uint32_t priority = 5;
  /// Weight among organisations of the same priority.
  std::uint32_t share = 1;
  /// Maximum number of requests that wait in one entry VM.
  std::uint32_t max_queue = 256;
  /// Maximum number of bytes that one entry VM buffers for all streams of the organisation.
  byte_count max_buffer_bytes{std::uint64_t{16} << 20U};

  bool operator==(const organisation_config&) const = default;
};

/// Replicas that serve one model in a set of failure domains, with their request limits.
struct model_group_config {
  model_group_id id;
  std::string model;
  std::vector<failure_domain_id> failure_domains;
  /// Number of replicas in each failure domain.
  std::uint32_t replicas = 1;
  std::uint32_t vms_per_replica = 1;
  /// Number of VMs kept free for repairs in each failure domain.
  std::uint32_t spares = 0;
  /// 0 is the highest priority, loaded first; 9 is the lowest.
  std::uint32_t priority = 5;
  /// Maximum number of requests that one replica holds, over all entry VMs.
  request_count max_requests{16};
  /// Request limit of a replica immediately after a cold start.
  request_count cold_requests{2};
  /// Time over which the request limit rises from `cold_requests` to `max_requests`.
  milliseconds warm_up{30000};
  /// Maximum number of KV cache tokens that one replica holds, over all entry VMs.
  token_count kv_tokens{65536};

  bool operator==(const model_group_config&) const = default;
};

/// A plain service behind the gateway, without model groups.
struct service_config {
  service_id id;
  std::vector<failure_domain_id> failure_domains;
  /// Whether a call may be executed more than once.
  bool repeatable = true;
  /// Maximum number of requests that one backend server holds, over all entry VMs.
  request_count max_requests{64};

  bool operator==(const service_config&) const = default;
};

/// A configured object and the revision (control stream offset) that last changed it.
template <typename object>
struct revised {
  object value;
  log_offset revision;

  bool operator==(const revised&) const = default;
};

/// The configured objects that are in force after a prefix of the control stream.
struct configuration {
  std::map<failure_domain_id, revised<failure_domain_config>> failure_domains;
  std::map<organisation_id, revised<organisation_config>> organisations;
  std::map<model_group_id, revised<model_group_config>> model_groups;
  std::map<service_id, revised<service_config>> services;

  bool operator==(const configuration&) const = default;
};

}  // namespace waxwingwing
