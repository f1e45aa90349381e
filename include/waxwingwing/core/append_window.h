#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// Recognises records that a writer appended again after a lost response.
///
/// Remembers the append ids of the last `kSize` records as 64-bit hashes, so that its content
/// depends on the log alone and fits in a snapshot.
class append_window {
 public:
  static constexpr std::size_t kSize = 8192;

  /// Adds the next record; false when one of the remembered records has the same append id.
  bool Add(const append_id& id);

  /// Hashes of the remembered records, oldest first.
  std::vector<std::uint64_t> ToList() const { return {hashes_.begin(), hashes_.end()}; }
  /// Replaces the content; `hashes` has at most `kSize` elements.
  void Load(const std::vector<std::uint64_t>& hashes);

 private:
  void Push(std::uint64_t hash);

  std::deque<std::uint64_t> hashes_;
  std::unordered_map<std::uint64_t, std::size_t> counts_;
};

}  // namespace waxwingwing
