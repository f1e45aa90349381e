#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// One member of a log line.
class log_field {
 public:
  log_field(std::string_view key, std::string_view text);
  log_field(std::string_view key, const char* text);
  log_field(std::string_view key, const std::string& text)
      : log_field(key, std::string_view(text.data(), text.size())) {}
  log_field(std::string_view key, bool flag);
  log_field(std::string_view key, double number);
  template <typename number,
            std::enable_if_t<std::is_integral_v<number> && !std::is_same_v<number, bool>, int> = 0>
  log_field(std::string_view key, number value)
      : log_field(key, static_cast<std::int64_t>(value), 0) {}
  /// Milliseconds, with the unit in the key: `age_ms`.
  log_field(std::string_view key, duration time);

  const std::string& text() const { return text_; }

 private:
  log_field(std::string_view key, std::int64_t number, int /*tag*/);

  std::string text_;
};

/// Writes one JSON object a line for each decision and each change of belief.
///
/// Never blocks: lines wait in a bounded buffer until `Flush` hands them to a sink that takes what
/// it can. Lines beyond the rate or the buffer are dropped and counted in a later line; lines
/// marked as needed have a part of both for themselves. Not safe for use by several threads.
class event_log {
 public:
  /// Takes bytes; returns how many were taken, 0 when it would block.
  using sink = std::function<std::size_t(std::string_view)>;

  enum class importance {
    /// Explains a failure or a change of belief.
    kNeeded,
    /// One of many lines alike.
    kRoutine,
  };

  event_log(const runtime_clock& clock, std::string vm, sink output);

  void Write(std::string_view event, std::initializer_list<log_field> fields,
             importance level = importance::kNeeded);
  /// Hands buffered lines to the sink.
  void Flush();
  std::uint64_t dropped() const { return dropped_total_; }

 private:
  bool Admit(importance level);

  const runtime_clock& clock_;
  const std::string vm_;
  const sink output_;
  std::string buffer_;
  time_point window_start_{};
  std::uint32_t routine_lines_ = 0;
  std::uint32_t needed_lines_ = 0;
  std::uint64_t dropped_since_line_ = 0;
  std::uint64_t dropped_total_ = 0;
};

/// A sink on a file descriptor that is switched to non-blocking writes.
event_log::sink DescriptorSink(int descriptor);

}  // namespace waxwingwing
