#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "stand_ins/asio.h"

namespace waxwingwing::stand_ins {

/// Weights of one rank of a model, and the weight store to read them from.
struct weight_source {
  std::string address;
  std::string model;
  std::uint64_t rank = 0;
  /// Number of bytes to read from the beginning; 0 reads all.
  std::uint64_t bytes = 0;
};

/// Reads weights from the weight store and discards them. Stops as soon as `wanted` returns false;
/// returns whether all bytes arrived.
awaitable<bool> ReadWeights(weight_source source, std::function<bool()> wanted);

}  // namespace waxwingwing::stand_ins
