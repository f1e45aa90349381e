#pragma once

#include <cstdint>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Longest time that an order may be in flight.
inline constexpr milliseconds kOrderTimeout{2000};

/// Timing parameters of the lease protocol. The lease duration is part of each lease record.
struct lease_timing {
  /// Interval between renewals.
  milliseconds renew_interval{2000};
  /// Time after which an append without an answer is sent again with the same id.
  milliseconds append_retry{1000};
  /// Added to the successor's wait, since an order of the previous holder may still be in flight.
  milliseconds order_in_flight = kOrderTimeout;
  /// Delay per claim rank, so that candidates do not claim at the same time.
  milliseconds rank_delay{300};
  /// Percentage of the lease duration for which the holder uses the lease and for which a successor
  /// waits. The margins cover a clock rate error of up to 1%.
  std::uint32_t holder_percent = 99;
  std::uint32_t successor_percent = 101;
};

/// Rank of `own` among the live entry VMs of a domain, which are the candidates for its lease; rank
/// 0 claims first.
std::uint32_t ClaimRank(const failure_domain_id& failure_domain, const vm_id& own,
                        const std::vector<vm_id>& live_members);

}  // namespace waxwingwing
