#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// Detects duplicate records, which a writer appends when it retries after a lost response.
///
/// Keeps the append ids of the last `kSize` records as 64-bit hashes. Its content therefore depends
/// only on the log and is small enough for a snapshot. Not thread-safe.
class append_window {
 public:
  static constexpr std::size_t kSize = 8192;

  /// Adds the next record; returns false when a record in the window has the same append id.
  bool Add(const append_id& id);

  /// Hashes of the append ids in the window, oldest first.
  std::vector<std::uint64_t> ToList() const { return {hashes_.begin(), hashes_.end()}; }
  /// Replaces the content by `hashes`, oldest first; at most `kSize` elements.
  void Load(const std::vector<std::uint64_t>& hashes);

 private:
  void Push(std::uint64_t hash);

  std::deque<std::uint64_t> hashes_;
  std::unordered_map<std::uint64_t, std::size_t> counts_;
};

}  // namespace waxwingwing
