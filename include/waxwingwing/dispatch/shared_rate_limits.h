#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/backend_server.h"
#include "waxwingwing/dispatch/work_partitions.h"

namespace waxwingwing {

/// Limits of a `shared_rate_limits`.
struct shared_rate_options {
  /// Requests that all VMs together may send to a server at once: a fraction of those of one
  /// second, and a number beyond that.
  double burst_fraction = 0.4;
  double base_burst = 0;
  /// Part of the rates that applies while the store has not confirmed this VM's partitions, which
  /// other VMs may hold by then.
  double unconfirmed_part = 0;
};

/// Division of the rates that servers state themselves. Operators allow 1.5 times such a rate plus
/// five requests in four seconds. A VM whose partitions are not confirmed goes on with a part of
/// its rate, since most servers may have stated a limit.
inline constexpr shared_rate_options kStatedRates{0.8, 3, 0.3};

/// Rate limiter that keeps all VMs together within a rate of requests to each server.
///
/// The rate of a server is divided equally among a few partitions of the work, which are selected
/// by a hash of the server's id; only the VMs that hold these partitions send to it. The number of
/// selected partitions is bounded, so that the combined burst of their holders stays within the
/// server's limit even when there are many VMs.
class shared_rate_limits {
 public:
  explicit shared_rate_limits(const shared_rate_options& options = {}) : options_(options) {}

  /// Sets the partitions that this VM holds: none while the store has not confirmed them.
  void SetPartitions(const work_partitions& partitions);

  /// Whether this VM may send a request to the server, to which all VMs together may send `rate`
  /// requests a second.
  bool MaySend(const backend_server_id& server, double rate, time_point now);
  /// Consumes the token for a request that `MaySend` has allowed.
  void ConsumeToken(const backend_server_id& server);
  /// Removes the state of servers for which `is_known` returns false.
  void Prune(const std::function<bool(const backend_server_id&)>& is_known);

 private:
  /// Token bucket for one server.
  struct bucket {
    double tokens = 0;
    /// Rate of all VMs together.
    double joint_rate = 0;
    /// Whether this VM's part of the rate must be calculated again.
    bool is_outdated = true;
    /// Tokens added a second, and the largest number that is kept.
    double rate = 0;
    double burst = 0;
    time_point refilled_at{};
  };

  /// Number of partitions that are selected for a server with this rate.
  std::uint64_t SelectedCount(double rate) const;
  /// Number of the partitions selected for a server that this VM holds.
  std::size_t CountHeld(const backend_server_id& server, double rate) const;
  bucket MakeBucket(const backend_server_id& server, double rate, time_point now) const;

  const shared_rate_options options_;
  /// The partitions that were last confirmed, or none when unconfirmed ones do not count.
  work_partitions partitions_;
  bool confirmed_ = false;
  std::map<backend_server_id, bucket> buckets_;
};

}  // namespace waxwingwing
