#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "stand_ins/change_signal.h"
#include "stand_ins/http_exchange.h"

namespace waxwingwing::stand_ins {

/// One stream of the platform log: the retained records, as JSON text, and a signal for readers
/// that wait for more.
class log_stream {
 public:
  log_stream() = default;
  log_stream(const log_stream&) = delete;
  log_stream& operator=(const log_stream&) = delete;

  /// Appends a record and returns its offset. Drops the oldest records beyond `retain`; 0 drops
  /// none.
  std::uint64_t Append(const std::string& append_id, const json& payload, std::uint64_t retain);

  std::uint64_t first_offset() const { return first_offset_; }
  std::uint64_t next_offset() const { return first_offset_ + records_.size(); }

  /// Formats the response to a read of at most `limit` records from offset `from`, which must not
  /// be below `first_offset`.
  std::string ToText(std::uint64_t from, std::uint64_t limit) const;

  /// Notified by each append; readers that wait for records wait on it.
  change_signal& changed() { return changed_; }

 private:
  std::uint64_t first_offset_ = 0;
  std::deque<std::string> records_;
  change_signal changed_;
};

}  // namespace waxwingwing::stand_ins
