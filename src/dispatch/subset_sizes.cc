#include "waxwingwing/dispatch/subset_sizes.h"

#include <algorithm>
#include <cmath>

namespace waxwingwing {

void subset_sizes::RecordRequest(std::uint64_t pool, time_point now) {
  const auto [found, is_new] = counters_.try_emplace(pool);
  counter& counted = found->second;
  if (is_new) counted.window_began_at = now;
  const duration age = now - counted.window_began_at;
  if (age >= options_.window) {
    // A pause of more than a window says nothing about the rate before it.
    const bool paused = age >= 2 * options_.window;
    counted.previous = paused ? std::nullopt : std::optional(counted.requests);
    counted.requests = 0;
    counted.window_began_at = now;
  }
  ++counted.requests;
}

std::size_t subset_sizes::SizeOf(std::uint64_t pool, std::size_t servers, time_point now) const {
  const auto found = counters_.find(pool);
  if (found == counters_.end() || !found->second.previous) return servers;
  const counter& counted = found->second;
  if (now - counted.window_began_at >= 2 * options_.window) return servers;
  const double requests = static_cast<double>(std::max(counted.requests, *counted.previous));
  const std::chrono::duration<double> window = options_.window;
  const std::chrono::duration<double> idle_time = options_.idle_time;
  const double size =
      std::ceil(requests / window.count() * idle_time.count() / options_.requests_per_idle_time);
  return std::clamp(static_cast<std::size_t>(size), std::min(options_.min_servers, servers),
                    servers);
}

}  // namespace waxwingwing
