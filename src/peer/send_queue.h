#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace waxwingwing {

/// Bounded queue of encoded frames towards one peer.
///
/// When it is full, the oldest status is dropped, since a newer one supersedes it; without one, the
/// oldest frame is.
class send_queue {
 public:
  enum class frame_kind { kStatus, kOther };

  static constexpr std::size_t kCapacity = 64;

  /// Adds a frame; the kind of the dropped frame, if one was.
  std::optional<frame_kind> Push(std::string frame, frame_kind kind);
  /// Takes the oldest frame; the queue must not be empty.
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
