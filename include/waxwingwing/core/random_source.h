#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace waxwingwing {

/// Seeded pseudo-random number generator. Not thread-safe.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// Creates a generator that is seeded by the operating system.
  static random_source FromDevice();

  std::uint64_t Next() { return engine_(); }
  /// A uniformly distributed number in [0, `bound`); `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound);
  /// A uniformly distributed number in [0, 1).
  double Fraction();
  /// A random identifier of 32 hexadecimal digits.
  std::string HexId();

 private:
  std::mt19937_64 engine_;
};

}  // namespace waxwingwing
