#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "waxwingwing/core/units.h"
#include "waxwingwing/streaming/buffer_account.h"

namespace waxwingwing {

/// Bytes of one stream that were read from a backend server and not yet written to the caller.
///
/// The limit covers the waiting bytes and the block that is being written. Every byte is reserved
/// in the organisation's account until it is written. Not safe for use by several threads.
class relay_buffer {
 public:
  relay_buffer(byte_count limit, std::shared_ptr<buffer_account> account);
  relay_buffer(const relay_buffer&) = delete;
  relay_buffer& operator=(const relay_buffer&) = delete;
  ~relay_buffer();

  /// Appends all of `bytes`, or nothing when the stream's limit or an account has no room.
  bool TryAppend(std::string_view bytes);

  /// Whether `bytes` could be appended now; other streams may take the room at any time.
  bool HasRoom(byte_count bytes) const;

  /// Moves the waiting bytes to the block to be written and returns it; empty when nothing waits.
  /// The block stays valid until `EndWrite`.
  const std::string& BeginWrite();
  /// Drops the written block and gives its bytes back to the accounts.
  void EndWrite();

  byte_count size() const { return byte_count(waiting_.size() + writing_.size()); }
  bool empty() const { return waiting_.empty() && writing_.empty(); }

 private:
  byte_count limit_;
  std::shared_ptr<buffer_account> account_;
  std::string waiting_;
  std::string writing_;
};

}  // namespace waxwingwing
