#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Limits of a `subset_sizes`.
struct subset_options {
  /// Time over which requests are counted.
  std::chrono::seconds window{5};
  /// How long servers usually keep an idle connection open.
  std::chrono::seconds idle_time{3};
  /// Requests of this VM to each server of its subset in that time, so that most of them find an
  /// idle connection.
  double requests_per_idle_time = 1.5;
  /// Smallest subset: enough servers to choose between, and to lose some.
  std::size_t min_servers = 4;
};

/// Determines to how many of the servers of a pool this VM sends requests. A pool is the servers of
/// a service, or the groups of a model.
///
/// When many VMs each send few requests to all servers, hardly any request finds an idle
/// connection. A VM with few requests therefore keeps to a subset of the servers. Use from one
/// thread.
class subset_sizes {
 public:
  explicit subset_sizes(const subset_options& options = {}) : options_(options) {}

  /// Records a request of this VM to a server of the pool.
  void RecordRequest(std::uint64_t pool, time_point now);
  /// Size of the subset of a pool of `servers` servers; all of them while the rate of requests is
  /// not known yet.
  std::size_t SizeOf(std::uint64_t pool, std::size_t servers, time_point now) const;

 private:
  struct counter {
    time_point window_began_at{};
    std::uint64_t requests = 0;
    /// Requests in the window before; empty in the first one.
    std::optional<std::uint64_t> previous;
  };

  const subset_options options_;
  std::map<std::uint64_t, counter> counters_;
};

}  // namespace waxwingwing
