#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

/// A load report older than this says nothing about the present load.
inline constexpr milliseconds kLoadReportLifetime{2000};
/// A candidate slower than this many times the median generation time is a straggler.
inline constexpr double kStragglerFactor = 2.0;

/// Requests held at the candidate as far as this node knows: its own in-flight requests, plus the
/// reported ones when the report is fresh.
double HeldRequests(const backend_view& candidate, time_point now);

/// Held requests relative to this node's limit; infinite when the limit is 0.
double RelativeLoad(const backend_view& candidate, time_point now);

/// Lower median of the generation times of the routable candidates that report one; 0 when none
/// does. The lower one, so that of two candidates the slower can be a straggler.
double MedianMsPerToken(const std::vector<backend_view>& candidates);

/// Indices of routable candidates that a strategy orders among themselves.
using candidate_class = std::vector<std::size_t>;

/// Orders the routable candidates: those of the own domain before the others, and stragglers last
/// in each part; `order` arranges each class, best first.
std::vector<std::size_t> RankByClass(const selection_input& input,
                                     const std::function<void(candidate_class&)>& order);

/// Sorts by relative load; equally loaded candidates keep their order.
void SortByLoad(const selection_input& input, candidate_class& members);

/// Moves the first `offset` modulo size members to the end.
void Rotate(candidate_class& members, std::size_t offset);

}  // namespace waxwingwing
