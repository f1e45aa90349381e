#include "waxwingwing/core/hash.h"

#include <xxhash.h>

namespace waxwingwing {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t RendezvousWeight(std::string_view node, std::string_view key) {
  return StableHash(key, StableHash(node));
}

}  // namespace waxwingwing
