#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// One server-sent event.
struct server_event {
  /// Empty for the default type `message`.
  std::string type;
  std::string data;

  bool operator==(const server_event&) const = default;
};

/// Incremental parser of a server-sent event stream, with a limit on the size of one event.
///
/// Input may be split at any byte. An event is emitted only when its terminating empty line has
/// arrived, so a stream that ends in the middle of an event yields no part of that event.
class event_parser {
 public:
  explicit event_parser(byte_count max_event_size) : max_event_size_(max_event_size.get()) {}

  /// Parses `bytes` and appends the events that they complete to `events`. Returns false when an
  /// event exceeds the limit; the parser then rejects all further input.
  bool Feed(std::string_view bytes, std::vector<server_event>& events);

  bool failed() const { return failed_; }

 private:
  bool AddToLine(std::string_view part);
  void EndLine(std::vector<server_event>& events);
  void ApplyField(std::string_view field, std::string_view value);

  std::size_t max_event_size_;
  std::string line_;
  std::string type_;
  std::string data_;
  bool has_data_ = false;
  bool skip_line_feed_ = false;
  bool failed_ = false;
};

}  // namespace waxwingwing
