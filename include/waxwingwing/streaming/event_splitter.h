#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Splits a numbered event stream into whole events without changing a byte of them.
///
/// Bytes may be cut anywhere; a part of an event is held back until its empty line has arrived, so
/// a stream that breaks off in the middle of an event passes nothing of it on.
class event_splitter {
 public:
  enum class verdict {
    /// `events` holds the whole events that are new, perhaps none.
    kOk,
    /// An event is missing, or its number cannot be read.
    kOutOfOrder,
    /// An event is larger than the limit.
    kTooLarge,
  };

  explicit event_splitter(byte_count max_event_size) : max_event_size_(max_event_size.get()) {}

  /// Numbers up to `last` were passed on already; events up to it are dropped and the next must
  /// follow it. Without a call, the first event's number is taken as it is.
  void ContinueAfter(std::uint64_t last) { last_id_ = last; }

  /// Appends the whole events that `bytes` complete to `events`.
  verdict Feed(std::string_view bytes, std::string& events);

  /// Whether the stream stands between two events.
  bool AtEventBoundary() const { return partial_.empty(); }
  std::optional<std::uint64_t> last_id() const { return last_id_; }

 private:
  verdict TakeEvent(std::string_view event, std::string& events);

  const std::size_t max_event_size_;
  std::string partial_;
  std::optional<std::uint64_t> last_id_;
};

}  // namespace waxwingwing
