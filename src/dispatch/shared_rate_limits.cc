#include "waxwingwing/dispatch/shared_rate_limits.h"

#include <algorithm>
#include <cmath>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

/// Fraction of a server's rate that is allowed as a burst. Operators allow a cold server 1.5 times
/// its rate plus five requests in a second; the remainder is a margin for requests that are delayed
/// on their way.
constexpr double kBurstFraction = 0.4;

}  // namespace

void shared_rate_limits::SetPartitions(const work_partitions& partitions) {
  if (partitions == partitions_) return;
  partitions_ = partitions;
  buckets_.clear();
}

shared_rate_limits::bucket shared_rate_limits::MakeBucket(const backend_server_id& server, double rate,
                                                      time_point now) const {
  const auto selected_count =
      static_cast<std::uint64_t>(std::max(1.0, std::floor(rate * kBurstFraction)));
  std::size_t held = 0;
  for (std::uint64_t selected = 0; selected < selected_count; ++selected) {
    held += partitions_.held.contains(StableHash(server.str(), selected) % partitions_.all) ? 1 : 0;
  }
  bucket made;
  made.rate = rate * static_cast<double>(held) / static_cast<double>(selected_count);
  made.burst = static_cast<double>(held);
  made.refilled_at = now;
  return made;
}

bool shared_rate_limits::MaySend(const backend_server_id& server, double rate, time_point now) {
  if (partitions_.held.empty()) return false;
  const auto [found, is_new] = buckets_.try_emplace(server);
  bucket& bucket = found->second;
  if (is_new) bucket = MakeBucket(server, rate, now);
  const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens = std::min(bucket.burst, bucket.tokens + std::max(0.0, elapsed) * bucket.rate);
  bucket.refilled_at = now;
  return bucket.tokens >= 1;
}

void shared_rate_limits::ConsumeToken(const backend_server_id& server) {
  buckets_[server].tokens -= 1;
}

void shared_rate_limits::Prune(const std::function<bool(const backend_server_id&)>& is_known) {
  std::erase_if(buckets_, [&](const auto& item) { return !is_known(item.first); });
}

}  // namespace waxwingwing
