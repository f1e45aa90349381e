#pragma once

#include <vector>

namespace waxwingwing::bench {

/// One observation: the values of the explanatory variables and the measured value.
struct observation {
  std::vector<double> variables;
  double value = 0;
};

struct linear_fit {
  double constant = 0;
  /// One slope for each explanatory variable.
  std::vector<double> slopes;
  /// Largest absolute difference between a measured value and the fitted one.
  double largest_residual = 0;
  /// False when the observations do not determine all slopes.
  bool determined = false;
};

/// Least-squares fit of `value = constant + sum(slope * variable)`.
linear_fit FitLinear(const std::vector<observation>& observations);

}  // namespace waxwingwing::bench
