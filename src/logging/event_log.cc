#include "waxwingwing/logging/event_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <utility>

namespace waxwingwing {
namespace {

/// Maximum number of buffered bytes; holds the lines of one second at the highest rate, while the
/// reader of standard output is slow.
constexpr std::size_t kBufferLimit = std::size_t{256} * 1024;
/// Bytes of the buffer that are reserved for lines of importance `kEssential`.
constexpr std::size_t kEssentialReserve = std::size_t{64} * 1024;
/// Rate limits in lines per second, for each importance; about 1% of a small VM's processor at
/// 10 us per line.
constexpr std::uint32_t kRoutineRate = 150;
constexpr std::uint32_t kEssentialRate = 300;

void AppendEscaped(std::string& target, std::string_view text) {
  for (const char letter : text) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      target += '\\';
      target += letter;
    } else if (code < 0x20 || code >= 0x7f) {
      fmt::format_to(std::back_inserter(target), "\\u{:04x}", code);
    } else {
      target += letter;
    }
  }
}

std::int64_t Milliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

log_field::log_field(std::string_view key, std::string_view text) {
  text_ = fmt::format("\"{}\":\"", key);
  AppendEscaped(text_, text);
  text_ += '"';
}

log_field::log_field(std::string_view key, const char* text)
    : log_field(key, std::string_view{text}) {}

log_field::log_field(std::string_view key, bool flag)
    : text_(fmt::format("\"{}\":{}", key, flag)) {}

log_field::log_field(std::string_view key, double number)
    : text_(fmt::format("\"{}\":{:.3f}", key, number)) {}

log_field::log_field(std::string_view key, std::int64_t number, int /*tag*/)
    : text_(fmt::format("\"{}\":{}", key, number)) {}

log_field::log_field(std::string_view key, duration time)
    : text_(fmt::format("\"{}\":{}", key, Milliseconds(time))) {}

event_log::event_log(const runtime_clock& clock, std::string vm, sink output)
    : clock_(clock), vm_(std::move(vm)), output_(std::move(output)) {}

bool event_log::Admit(importance level) {
  const time_point now = clock_.Now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    routine_lines_ = 0;
    essential_lines_ = 0;
  }
  if (level == importance::kEssential) {
    return ++essential_lines_ <= kEssentialRate && buffer_.size() < kBufferLimit;
  }
  return ++routine_lines_ <= kRoutineRate && buffer_.size() < kBufferLimit - kEssentialReserve;
}

void event_log::Write(std::string_view event, std::initializer_list<log_field> fields,
                      importance level) {
  if (!Admit(level)) {
    ++dropped_since_line_;
    ++dropped_total_;
    return;
  }
  fmt::format_to(std::back_inserter(buffer_), "{{\"t_ms\":{},\"vm\":\"{}\",\"event\":\"{}\"",
                 Milliseconds(clock_.Now().time_since_epoch()), vm_, event);
  for (const log_field& field : fields) {
    buffer_ += ',';
    buffer_ += field.text();
  }
  if (dropped_since_line_ > 0) {
    fmt::format_to(std::back_inserter(buffer_), ",\"lines_dropped\":{}", dropped_since_line_);
    dropped_since_line_ = 0;
  }
  buffer_ += "}\n";
}

void event_log::Flush() {
  while (!buffer_.empty()) {
    const std::size_t taken = output_(buffer_);
    if (taken == 0) return;
    buffer_.erase(0, taken);
  }
}

event_log::sink DescriptorSink(int descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFL, 0);
  if (flags >= 0) ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  return [descriptor](std::string_view bytes) -> std::size_t {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    return written > 0 ? static_cast<std::size_t>(written) : 0;
  };
}

}  // namespace waxwingwing
