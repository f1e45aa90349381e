#pragma once

#include <functional>
#include <map>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/backend_server.h"
#include "waxwingwing/dispatch/work_parts.h"

namespace waxwingwing {

/// Keeps all VMs together within the rate that a cold server bears.
///
/// The rate of a server is divided into a few tokens a second for each of some parts of the work,
/// chosen by the server's id; only the holders of these parts send to it. Their number is bounded,
/// so that the burst of all holders together stays within the bound also when there are many VMs.
class cold_limits {
 public:
  /// The parts that this VM holds; none while the store has not confirmed them.
  void SetParts(const work_parts& parts);

  /// Whether this VM may send a request to the cold server, which bears `rate` requests a second.
  bool MayTake(const backend_server_id& server, double rate, time_point now);
  /// Takes what `MayTake` has allowed.
  void Take(const backend_server_id& server);
  /// Forgets servers that `is_known` denies.
  void Prune(const std::function<bool(const backend_server_id&)>& is_known);

 private:
  struct bucket {
    double tokens = 0;
    /// Tokens a second, and the most that are kept.
    double rate = 0;
    double burst = 0;
    time_point refilled_at{};
  };

  bucket MakeBucket(const backend_server_id& server, double rate, time_point now) const;

  work_parts parts_;
  std::map<backend_server_id, bucket> buckets_;
};

}  // namespace waxwingwing
