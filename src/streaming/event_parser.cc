#include "waxwingwing/streaming/event_parser.h"

#include <utility>

namespace waxwingwing {

bool event_parser::Feed(std::string_view bytes, std::vector<server_event>& events) {
  if (failed_) return false;
  if (skip_line_feed_ && !bytes.empty()) {
    if (bytes.front() == '\n') bytes.remove_prefix(1);
    skip_line_feed_ = false;
  }
  while (!bytes.empty()) {
    const std::size_t end = bytes.find_first_of("\r\n");
    if (!AddToLine(bytes.substr(0, end))) return false;
    if (end == std::string_view::npos) return true;
    const bool carriage_return = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    EndLine(events);
    if (!carriage_return) continue;
    // The line feed of a CR LF pair may arrive with the next call.
    skip_line_feed_ = bytes.empty();
    if (!bytes.empty() && bytes.front() == '\n') bytes.remove_prefix(1);
  }
  return true;
}

bool event_parser::AddToLine(std::string_view part) {
  if (line_.size() + data_.size() + type_.size() + part.size() > max_event_size_) {
    failed_ = true;
    return false;
  }
  line_ += part;
  return true;
}

void event_parser::EndLine(std::vector<server_event>& events) {
  if (!line_.empty()) {
    const std::size_t colon = line_.find(':');
    const std::string_view line = line_;
    std::string_view value;
    if (colon != std::string::npos) value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    ApplyField(line.substr(0, colon), value);
    line_.clear();
    return;
  }
  if (has_data_) events.push_back({std::move(type_), std::move(data_)});
  type_.clear();
  data_.clear();
  has_data_ = false;
}

void event_parser::ApplyField(std::string_view field, std::string_view value) {
  if (field == "event") type_ = value;
  if (field != "data") return;
  if (has_data_) data_ += '\n';
  data_ += value;
  has_data_ = true;
}

}  // namespace waxwingwing
