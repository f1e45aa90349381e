#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Splits a stream of numbered server-sent events into whole events, byte for byte as received.
///
/// Input may be split at any byte. An incomplete event is buffered until its terminating empty line
/// has arrived, so a stream that ends in the middle of an event yields no part of that event.
class event_splitter {
 public:
  enum class verdict {
    /// The new whole events, if any, were appended to `events`.
    kOk,
    /// An event is missing from the sequence, or the number of an event cannot be read.
    kOutOfOrder,
    /// An event is larger than the limit.
    kTooLarge,
  };

  explicit event_splitter(byte_count max_event_size) : max_event_size_(max_event_size.get()) {}

  /// Resumes after event `last`: events up to that number are dropped, and the first new event must
  /// have the number after it. Without this call, the first event may have any number.
  void ContinueAfter(std::uint64_t last) { last_id_ = last; }

  /// Appends the events that `bytes` complete to `events`.
  verdict Feed(std::string_view bytes, std::string& events);

  /// Whether no incomplete event is buffered.
  bool AtEventBoundary() const { return partial_.empty(); }
  /// Whether the stream has begun anew and not reached the event after which it was resumed.
  bool IsBehind() const {
    return event_count_ == 0 && last_dropped_id_ && last_dropped_id_ < last_id_;
  }
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  /// Number of events appended so far.
  std::size_t event_count() const { return event_count_; }

 private:
  verdict AppendEvent(std::string_view event, std::string& events);

  const std::size_t max_event_size_;
  std::string partial_;
  std::optional<std::uint64_t> last_id_;
  std::optional<std::uint64_t> last_dropped_id_;
  std::size_t event_count_ = 0;
};

}  // namespace waxwingwing
