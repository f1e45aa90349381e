#pragma once

#include <cstdint>
#include <string_view>

namespace waxwingwing {

/// Returns a 64-bit hash (XXH64) that is the same on every VM and in every release.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// Weight of `node` for `key` in rendezvous hashing; the node with the highest weight owns the key.
std::uint64_t RendezvousWeight(std::string_view node, std::string_view key);

}  // namespace waxwingwing
