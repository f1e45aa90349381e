#include "waxwingwing/core/random_source.h"

#include <fmt/format.h>

#include <cassert>

namespace waxwingwing {

random_source random_source::FromDevice() {
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  return random_source((high << 32U) | low);
}

std::uint64_t random_source::Below(std::uint64_t bound) {
  assert(bound > 0);
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double random_source::Fraction() { return std::uniform_real_distribution<double>(0, 1)(engine_); }

std::string random_source::HexId() {
  const std::uint64_t high = Next();
  const std::uint64_t low = Next();
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace waxwingwing
