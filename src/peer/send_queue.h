#pragma once

#include <cstddef>
#include <deque>
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

  /// Adds a frame. Returns the kind of the dropped frame, if a frame was dropped.
  std::optional<frame_kind> Push(std::string frame, frame_kind kind);
  /// Removes and returns the oldest frame; the queue must not be empty.
  std::string Pop();
  bool empty() const { return frames_.empty(); }
  std::size_t size() const { return frames_.size(); }

 private:
  struct entry {
    std::string frame;
    frame_kind kind;
  };

  std::deque<entry> frames_;
};

}  // namespace waxwingwing
