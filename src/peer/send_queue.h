#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace waxwingwing {

/// Bounded queue of encoded frames to be sent to one peer.
///
/// When the queue is full, it drops the oldest status, since a newer one supersedes it; if it holds
/// no status, it drops the oldest frame.
class send_queue {
 public:
  enum class frame_kind { kStatus, kOther };

  static constexpr std::size_t kCapacity = 64;

  /// An encoded frame, which the queues of several peers may share.
  using shared_frame = std::shared_ptr<const std::string>;

  /// Adds a frame. Returns the kind of the dropped frame, if a frame was dropped.
  std::optional<frame_kind> Push(shared_frame frame, frame_kind kind);
  /// Removes and returns the oldest frame; the queue must not be empty.
  shared_frame Pop();
  bool empty() const { return frames_.empty(); }
  std::size_t size() const { return frames_.size(); }

 private:
  struct entry {
    shared_frame frame;
    frame_kind kind;
  };

  std::deque<entry> frames_;
};

}  // namespace waxwingwing
