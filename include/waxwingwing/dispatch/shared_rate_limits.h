#pragma once

#include <functional>
#include <map>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/backend_server.h"
#include "waxwingwing/dispatch/work_partitions.h"

namespace waxwingwing {

/// Rate limiter that keeps all VMs together within the capacity of each cold server.
///
/// The rate of a server is divided equally among a few partitions of the work, which are selected
/// by a hash of the server's id; only the VMs that hold these partitions send to it. The number of
/// selected partitions is bounded, so that the combined burst of their holders stays within the
/// server's limit even when there are many VMs.
class shared_rate_limits {
 public:
  /// Sets the partitions that this VM holds: none while the store has not confirmed them.
  void SetPartitions(const work_partitions& partitions);

  /// Whether this VM may send a request to the cold server, whose capacity is `rate` requests a
  /// second.
  bool MaySend(const backend_server_id& server, double rate, time_point now);
  /// Consumes the token for a request that `MaySend` has allowed.
  void ConsumeToken(const backend_server_id& server);
  /// Removes the state of servers for which `is_known` returns false.
  void Prune(const std::function<bool(const backend_server_id&)>& is_known);

 private:
  /// Token bucket for one server.
  struct bucket {
    double tokens = 0;
    /// Tokens added a second, and the largest number that is kept.
    double rate = 0;
    double burst = 0;
    time_point refilled_at{};
  };

  bucket MakeBucket(const backend_server_id& server, double rate, time_point now) const;

  work_partitions partitions_;
  std::map<backend_server_id, bucket> buckets_;
};

}  // namespace waxwingwing
