#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "tests/integration/open_loop_load.h"
#include "tests/integration/vm_records.h"

namespace waxwingwing {

/// Times at which the failure domain of a drill was out, in microseconds of `CLOCK_MONOTONIC`.
struct drill_times {
  std::int64_t out_us = 0;
  std::int64_t back_us = 0;
  /// End of the period after the return that still counts as part of the drill.
  std::int64_t end_us = 0;
};

/// Value below which `part` (0 to 1) of the values lie; 0 when there are none.
double Quantile(std::vector<double> values, double part);

/// Tokens that engines generated for a request more than once, and all that they generated.
struct generated_tokens {
  std::uint64_t all = 0;
  std::uint64_t repeated = 0;
};

generated_tokens CountTokens(const std::vector<integration::vm_records>& engines);

/// Builds the report of a drill: outcomes and first-token latencies before and during it.
nlohmann::json ReportDrill(const std::vector<integration::open_loop_load::request>& requests,
                           const std::vector<integration::vm_records>& engines,
                           const drill_times& times);

}  // namespace waxwingwing
