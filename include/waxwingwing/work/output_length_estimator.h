#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/work/request_size.h"

namespace waxwingwing {

/// The requests whose outputs are expected to have similar lengths.
struct output_class {
  std::string route;
  organisation_id organisation;
};

/// Predicts the output length of requests from the lengths of earlier outputs.
///
/// For each class and magnitude of the stated length it learns the ratio of the real length to the
/// prior, which is the caller's hint, or else the usual length of the service within the stated
/// limit. The prediction is a quantile of that ratio that is close to the mean for widely spread
/// lengths: work adds up by means, and single long outputs hardly move a quantile.
class output_length_estimator {
 public:
  /// `usual`: mean output of the service; 0 when it is not known.
  token_count Estimate(const output_class& kind, const request_size& size, token_count usual) const;
  /// Records an output of `observed` tokens. `complete`: whether it had come to its end; otherwise
  /// it is a lower limit.
  void Record(const output_class& kind, const request_size& size, token_count usual,
              token_count observed, bool complete);

  std::size_t size() const { return ratios_.size(); }

 private:
  struct learned_ratio {
    /// Natural logarithm of the real length divided by the prior.
    double log_ratio = 0;
    std::uint32_t samples = 0;
  };

  const learned_ratio* Find(std::uint64_t key) const;
  void Learn(std::uint64_t key, double log_ratio, bool complete);

  std::unordered_map<std::uint64_t, learned_ratio> ratios_;
};

}  // namespace waxwingwing
