#pragma once

#include <cstdint>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Longest time for which an order may be on its way.
inline constexpr milliseconds kOrderTimeout{2000};

/// Times of the lease protocol. The lease time itself stands in each lease record.
struct lease_timing {
  /// Time from sending one renewal to sending the next.
  milliseconds renew_interval{2000};
  /// Time after which an append without an answer is sent again with the same id.
  milliseconds append_retry{1000};
  /// Added to the successor's wait: an order of the old holder may still be on its way.
  milliseconds order_in_flight = kOrderTimeout;
  /// Keeps candidates from claiming at the same time.
  milliseconds rank_delay{300};
  /// Part of the lease time, in percent, that the holder uses and that the successor waits; 1% is
  /// the greatest error of a clock's rate.
  std::uint32_t holder_percent = 99;
  std::uint32_t successor_percent = 101;
};

/// Position of `own` among the live entry VMs of a domain as candidates for its lease; 0 claims
/// first.
std::uint32_t ClaimRank(const failure_domain_id& failure_domain, const vm_id& own,
                        const std::vector<vm_id>& live_members);

}  // namespace waxwingwing
