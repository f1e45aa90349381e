#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "waxwingwing/core/clock.h"

namespace waxwingwing {

/// A key-value member of a log line's JSON object. Texts are escaped; times are in milliseconds.
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
  /// Writes the time in whole milliseconds; the key should name the unit, as in `age_ms`.
  log_field(std::string_view key, duration time);

  const std::string& text() const { return text_; }

 private:
  log_field(std::string_view key, std::int64_t number, int /*tag*/);

  std::string text_;
};

/// Structured event log: one JSON object per line for each decision and each change of known state.
///
/// Never blocks: lines are held in a bounded buffer until `Flush` writes them to a sink, which may
/// accept only a part of them. Lines beyond the rate limit or the buffer limit are dropped, and a
/// later line reports their number; lines of importance `kEssential` have a reserved share of both
/// limits. Not thread-safe.
class event_log {
 public:
  /// Writes bytes; returns the number of bytes accepted, 0 when the write would block.
  using sink = std::function<std::size_t(std::string_view)>;

  enum class importance {
    /// Explains a failure or a change of known state.
    kEssential,
    /// One of many similar lines; dropped first.
    kRoutine,
  };

  event_log(const runtime_clock& clock, std::string vm, sink output);

  /// Appends a line to the buffer, or drops it when a limit is exceeded.
  void Write(std::string_view event, std::initializer_list<log_field> fields,
             importance level = importance::kEssential);
  /// Writes the buffered lines to the sink, as far as it accepts them.
  void Flush();
  /// Total number of lines dropped.
  std::uint64_t dropped() const { return dropped_total_; }

 private:
  bool Admit(importance level);

  const runtime_clock& clock_;
  const std::string vm_;
  const sink output_;
  std::string buffer_;
  time_point window_start_{};
  std::uint32_t routine_lines_ = 0;
  std::uint32_t essential_lines_ = 0;
  std::uint64_t dropped_since_line_ = 0;
  std::uint64_t dropped_total_ = 0;
};

/// Returns a sink that writes to `descriptor`, which is switched to non-blocking mode.
event_log::sink DescriptorSink(int descriptor);

}  // namespace waxwingwing
