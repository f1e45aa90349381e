#include "waxwingwing/dispatch/shared_rate_limits.h"

#include <algorithm>
#include <cmath>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

/// Time of a low rate that the base burst may amount to. Low rates are divided among fewer VMs, so
/// that each of them may send a request soon.
constexpr double kBaseBurstSeconds = 2;

}  // namespace

void shared_rate_limits::SetPartitions(const work_partitions& partitions) {
  const bool confirmed = !partitions.held.empty();
  const bool keeps_held = !confirmed && options_.unconfirmed_part > 0;
  if (confirmed == confirmed_ && (keeps_held || partitions == partitions_)) return;
  confirmed_ = confirmed;
  for (auto& [server, bucket] : buckets_) bucket.is_outdated = true;
  if (keeps_held) return;
  partitions_ = partitions;
  // Another holder of a lost partition may use its tokens until this VM gets the partition back.
  for (auto& [server, bucket] : buckets_) {
    const auto held = static_cast<double>(CountHeld(server, bucket.joint_rate));
    bucket.tokens = std::min(bucket.tokens, held);
  }
}

std::uint64_t shared_rate_limits::SelectedCount(double rate) const {
  const double burst =
      rate * options_.burst_fraction + std::min(options_.base_burst, rate * kBaseBurstSeconds);
  return static_cast<std::uint64_t>(
      std::clamp(std::floor(burst), 1.0, std::max(1.0, static_cast<double>(partitions_.all))));
}

std::size_t shared_rate_limits::CountHeld(const backend_server_id& server, double rate) const {
  if (partitions_.held.empty()) return 0;
  std::size_t count = 0;
  for (std::uint64_t selected = 0; selected < SelectedCount(rate); ++selected) {
    count +=
        partitions_.held.contains(StableHash(server.str(), selected) % partitions_.all) ? 1 : 0;
  }
  return count;
}

shared_rate_limits::bucket shared_rate_limits::MakeBucket(const backend_server_id& server,
                                                          double rate, time_point now) const {
  const auto held = static_cast<double>(CountHeld(server, rate));
  bucket made;
  made.joint_rate = rate;
  made.is_outdated = false;
  made.rate = rate * held / static_cast<double>(SelectedCount(rate));
  if (!confirmed_) made.rate *= options_.unconfirmed_part;
  made.burst = held;
  made.refilled_at = now;
  return made;
}

bool shared_rate_limits::MaySend(const backend_server_id& server, double rate, time_point now) {
  if (partitions_.held.empty()) return false;
  bucket& bucket = buckets_[server];
  if (bucket.is_outdated || bucket.joint_rate != rate) {
    const double tokens = bucket.tokens;
    bucket = MakeBucket(server, rate, now);
    bucket.tokens = std::min(tokens, bucket.burst);
  }
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
