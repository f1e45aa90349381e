#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/routing/routing_snapshot.h"

namespace waxwingwing {

/// The request and the candidates from which a `replica_selector` selects.
struct selection_input {
  const std::vector<backend_view>& candidates;
  failure_domain_id own_domain;
  /// Hash of the prompt prefix; requests with equal hashes can reuse the same prompt cache.
  std::uint64_t prefix_hash = 0;
  time_point now;
};

/// Strategy that ranks the backend servers for one request. Not thread-safe; use one per thread.
class replica_selector {
 public:
  virtual ~replica_selector() = default;

  /// Indices of the routable candidates, best first: those in `own_domain` before all others.
  virtual std::vector<std::size_t> Rank(const selection_input& input) = 0;
};

/// Creates the strategy `bounded_affinity`, `least_loaded`, `round_robin` or `entropy_weighted`;
/// fails with the list of names when `name` is none of them.
result<std::unique_ptr<replica_selector>> MakeReplicaSelector(std::string_view name);

}  // namespace waxwingwing
