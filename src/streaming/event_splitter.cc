#include "waxwingwing/streaming/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace waxwingwing {
namespace {

/// Length of the first event in `text` including its empty line; npos when it is incomplete.
std::size_t EventLength(std::string_view text) {
  const std::size_t line_feeds = text.find("\n\n");
  const std::size_t with_returns = text.find("\r\n\r\n");
  const std::size_t first =
      std::min(line_feeds == std::string_view::npos ? line_feeds : line_feeds + 2,
               with_returns == std::string_view::npos ? with_returns : with_returns + 4);
  return first;
}

/// The number in the event's `id` line; empty when the line is missing or is not a number.
std::optional<std::uint64_t> EventNumber(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with("id:")) continue;
    line.remove_prefix(3);
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != line.data() + line.size()) return std::nullopt;
    return number;
  }
  return std::nullopt;
}

}  // namespace

event_splitter::verdict event_splitter::Feed(std::string_view bytes, std::string& events) {
  partial_ += bytes;
  std::string_view rest = partial_;
  for (;;) {
    const std::size_t length = EventLength(rest);
    if (length == std::string_view::npos) break;
    const verdict taken = AppendEvent(rest.substr(0, length), events);
    if (taken != verdict::kOk) return taken;
    rest.remove_prefix(length);
  }
  partial_.erase(0, partial_.size() - rest.size());
  return partial_.size() > max_event_size_ ? verdict::kTooLarge : verdict::kOk;
}

event_splitter::verdict event_splitter::AppendEvent(std::string_view event, std::string& events) {
  const auto number = EventNumber(event);
  if (!number) return verdict::kOutOfOrder;
  if (last_id_ && *number <= *last_id_) {
    last_dropped_id_ = number;
    return verdict::kOk;
  }
  if (last_id_ && *number != *last_id_ + 1) return verdict::kOutOfOrder;
  last_id_ = number;
  ++event_count_;
  events += event;
  return verdict::kOk;
}

}  // namespace waxwingwing
