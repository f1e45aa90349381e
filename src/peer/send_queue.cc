#include "peer/send_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace waxwingwing {

std::optional<send_queue::frame_kind> send_queue::Push(shared_frame frame, frame_kind kind) {
  frames_.push_back({std::move(frame), kind});
  if (frames_.size() <= kCapacity) return std::nullopt;
  const auto is_status = [](const entry& item) { return item.kind == frame_kind::kStatus; };
  auto dropped = std::find_if(frames_.begin(), frames_.end(), is_status);
  if (dropped == frames_.end()) dropped = frames_.begin();
  const frame_kind dropped_kind = dropped->kind;
  frames_.erase(dropped);
  return dropped_kind;
}

send_queue::shared_frame send_queue::Pop() {
  assert(!frames_.empty());
  shared_frame frame = std::move(frames_.front().frame);
  frames_.pop_front();
  return frame;
}

}  // namespace waxwingwing
