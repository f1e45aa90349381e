#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

/// A load report older than this is ignored, because it no longer reflects the current load.
inline constexpr milliseconds kLoadReportLifetime{2000};
/// A candidate whose generation time exceeds the median by this factor is a straggler.
inline constexpr double kStragglerFactor = 2.0;

/// Requests at the candidate that this entry VM knows of: its own in-flight requests, plus the
/// reported ones when the report is recent.
double HeldRequests(const backend_view& candidate, time_point now);

/// Held requests relative to this entry VM's limit; infinite when the limit is 0.
double RelativeLoad(const backend_view& candidate, time_point now);

/// Lower median of the generation times of the routable candidates that report one; 0 when none
/// does. The lower median is used so that the slower of two candidates can be a straggler.
double MedianMsPerToken(const std::vector<backend_view>& candidates);

/// Indices of routable candidates that rank equally by domain and speed; the strategy orders them.
using candidate_tier = std::vector<std::size_t>;

/// Ranks the routable candidates: those in the own domain before the others, and stragglers last in
/// either part. `order` sorts the candidates within each tier, best first.
std::vector<std::size_t> RankByTier(const selection_input& input,
                                    const std::function<void(candidate_tier&)>& order);

/// Sorts by relative load, lowest first; equally loaded candidates keep their order.
void SortByLoad(const selection_input& input, candidate_tier& members);

/// Moves the first `offset` modulo size members to the end.
void Rotate(candidate_tier& members, std::size_t offset);

}  // namespace waxwingwing
