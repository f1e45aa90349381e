#include "waxwingwing/dispatch/cold_limits.h"

#include <algorithm>
#include <cmath>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

/// Fraction of a server's rate that is allowed as a burst. Operators allow a cold server 1.5 times
/// its rate plus five requests in a second; the remainder is a margin for requests that are delayed
/// on their way.
constexpr double kBurstPart = 0.4;

}  // namespace

void cold_limits::SetParts(const work_parts& parts) {
  if (parts == parts_) return;
  parts_ = parts;
  buckets_.clear();
}

cold_limits::bucket cold_limits::MakeBucket(const backend_server_id& server, double rate,
                                            time_point now) const {
  const auto shares = static_cast<std::uint64_t>(std::max(1.0, std::floor(rate * kBurstPart)));
  std::size_t held = 0;
  for (std::uint64_t share = 0; share < shares; ++share) {
    held += parts_.held.contains(StableHash(server.str(), share) % parts_.all) ? 1 : 0;
  }
  bucket made;
  made.rate = rate * static_cast<double>(held) / static_cast<double>(shares);
  made.burst = static_cast<double>(held);
  made.refilled_at = now;
  return made;
}

bool cold_limits::MayTake(const backend_server_id& server, double rate, time_point now) {
  if (parts_.held.empty()) return false;
  const auto [found, is_new] = buckets_.try_emplace(server);
  bucket& bucket = found->second;
  if (is_new) bucket = MakeBucket(server, rate, now);
  const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens = std::min(bucket.burst, bucket.tokens + std::max(0.0, elapsed) * bucket.rate);
  bucket.refilled_at = now;
  return bucket.tokens >= 1;
}

void cold_limits::Take(const backend_server_id& server) { buckets_[server].tokens -= 1; }

void cold_limits::Prune(const std::function<bool(const backend_server_id&)>& is_known) {
  std::erase_if(buckets_, [&](const auto& item) { return !is_known(item.first); });
}

}  // namespace waxwingwing
