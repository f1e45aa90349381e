#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "waxwingwing/core/store_position.h"

namespace waxwingwing {

/// The newest of the operators' records by key, as far as they have changed between two places.
struct operators_update {
  /// Absent when the records are all that there are.
  std::optional<store_position> from;
  store_position next;
  std::vector<store_record> records;
};

/// The newest of the operators' records by key up to a place in their stream, kept to be passed on
/// to VMs that know fewer of them.
class operators_snapshot {
 public:
  /// Replaces everything by the complete list of the records up to `next`.
  void Replace(const std::vector<store_record>& records, store_position next);
  /// Adds records that lead from the known place to `next`, in their order.
  void Add(const std::vector<store_record>& records, store_position next);
  void Clear();

  /// What a VM lacks that knows the records up to `place`, or none of them. Absent when nothing is
  /// known that lies behind that place.
  std::optional<operators_update> Since(const std::optional<store_position>& place) const;

 private:
  struct entry {
    /// Absent for a key that was removed.
    std::optional<std::string> value;
    /// Offset behind the record, at most.
    std::uint64_t changed_until = 0;
  };

  /// The place of the last complete list; keys that were removed before it are not known.
  std::optional<store_position> listed_at_;
  store_position next_;
  std::map<std::string, entry> records_;
};

}  // namespace waxwingwing
