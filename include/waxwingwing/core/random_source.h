#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace waxwingwing {

/// Seeded source of random numbers; not safe for use by several threads.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// A source seeded by the operating system.
  static random_source FromDevice();

  std::uint64_t Next() { return engine_(); }
  /// A number from 0 up to and without `bound`, which must be positive.
  std::uint64_t Below(std::uint64_t bound);
  /// A number from 0 up to and without 1.
  double Fraction();
  /// A random identifier of 32 hexadecimal digits.
  std::string HexId();

 private:
  std::mt19937_64 engine_;
};

}  // namespace waxwingwing
