#include "waxwingwing/core/append_window.h"

#include <cassert>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {

bool append_window::Add(const append_id& id) {
  const std::uint64_t hash = StableHash(id.str());
  const bool known = counts_.contains(hash);
  Push(hash);
  return !known;
}

void append_window::Load(const std::vector<std::uint64_t>& hashes) {
  assert(hashes.size() <= kSize);
  hashes_.clear();
  counts_.clear();
  for (const std::uint64_t hash : hashes) Push(hash);
}

void append_window::Push(std::uint64_t hash) {
  hashes_.push_back(hash);
  ++counts_[hash];
  if (hashes_.size() <= kSize) return;
  const auto oldest = counts_.find(hashes_.front());
  hashes_.pop_front();
  if (--oldest->second == 0) counts_.erase(oldest);
}

}  // namespace waxwingwing
