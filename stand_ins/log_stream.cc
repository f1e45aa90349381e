#include "stand_ins/log_stream.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace waxwingwing::stand_ins {

std::uint64_t log_stream::Append(const std::string& append_id, const json& payload,
                                 std::uint64_t retain) {
  const std::uint64_t offset = next_offset();
  const json record = {{"offset", offset}, {"append_id", append_id}, {"payload", payload}};
  records_.push_back(record.dump());
  while (retain > 0 && records_.size() > retain) {
    records_.pop_front();
    ++first_offset_;
  }
  changed_.Notify();
  return offset;
}

std::string log_stream::ToText(std::uint64_t from, std::uint64_t limit) const {
  assert(from >= first_offset_);
  std::string text = fmt::format(R"({{"first_offset":{},"next_offset":{},"records":[)",
                                 first_offset_, next_offset());
  const std::uint64_t available = from < next_offset() ? next_offset() - from : 0;
  const std::uint64_t count = std::min(limit, available);
  for (std::uint64_t index = 0; index < count; ++index) {
    if (index > 0) text += ',';
    text += records_[from - first_offset_ + index];
  }
  return text + "]}";
}

}  // namespace waxwingwing::stand_ins
