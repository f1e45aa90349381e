#include "bench/linear_fit.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace waxwingwing::bench {

namespace {

using matrix = std::vector<std::vector<double>>;

constexpr double kSmallestPivot = 1e-9;

std::vector<double> RowOf(const observation& sample) {
  std::vector<double> row{1};
  row.insert(row.end(), sample.variables.begin(), sample.variables.end());
  return row;
}

/// The normal equations, with the right-hand side as the last column.
matrix NormalEquations(const std::vector<observation>& observations, std::size_t size) {
  matrix equations(size, std::vector<double>(size + 1, 0));
  for (const observation& sample : observations) {
    const std::vector<double> row = RowOf(sample);
    for (std::size_t line = 0; line < size; ++line) {
      for (std::size_t column = 0; column < size; ++column) {
        equations[line][column] += row[line] * row[column];
      }
      equations[line][size] += row[line] * sample.value;
    }
  }
  return equations;
}

/// Gauss-Jordan elimination with row pivoting; false when the matrix is singular.
bool Solve(matrix& equations) {
  const std::size_t size = equations.size();
  for (std::size_t pivot = 0; pivot < size; ++pivot) {
    std::size_t best = pivot;
    for (std::size_t line = pivot + 1; line < size; ++line) {
      if (std::fabs(equations[line][pivot]) > std::fabs(equations[best][pivot])) best = line;
    }
    if (std::fabs(equations[best][pivot]) < kSmallestPivot) return false;
    std::swap(equations[best], equations[pivot]);
    for (std::size_t line = 0; line < size; ++line) {
      if (line == pivot) continue;
      const double factor = equations[line][pivot] / equations[pivot][pivot];
      for (std::size_t column = pivot; column <= size; ++column) {
        equations[line][column] -= factor * equations[pivot][column];
      }
    }
  }
  return true;
}

double Predict(const linear_fit& fit, const std::vector<double>& variables) {
  double value = fit.constant;
  for (std::size_t index = 0; index < variables.size(); ++index) {
    value += fit.slopes[index] * variables[index];
  }
  return value;
}

}  // namespace

linear_fit FitLinear(const std::vector<observation>& observations) {
  linear_fit fit;
  if (observations.empty()) return fit;
  const std::size_t size = observations.front().variables.size() + 1;
  matrix equations = NormalEquations(observations, size);
  fit.slopes.assign(size - 1, 0);
  if (observations.size() < size || !Solve(equations)) return fit;
  fit.determined = true;
  fit.constant = equations[0][size] / equations[0][0];
  for (std::size_t line = 1; line < size; ++line) {
    fit.slopes[line - 1] = equations[line][size] / equations[line][line];
  }
  for (const observation& sample : observations) {
    const double residual = std::fabs(Predict(fit, sample.variables) - sample.value);
    fit.largest_residual = std::max(fit.largest_residual, residual);
  }
  return fit;
}

}  // namespace waxwingwing::bench
