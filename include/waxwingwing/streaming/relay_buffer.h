#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "waxwingwing/core/units.h"
#include "waxwingwing/streaming/buffer_account.h"

namespace waxwingwing {

/// Buffers the bytes of one stream between reading from a backend server and writing to the caller.
///
/// The limit covers both the waiting bytes and the block that is being written. Every byte stays
/// reserved in the organisation's account until it is written. Not thread-safe.
class relay_buffer {
 public:
  relay_buffer(byte_count limit, std::shared_ptr<buffer_account> account);
  relay_buffer(const relay_buffer&) = delete;
  relay_buffer& operator=(const relay_buffer&) = delete;
  ~relay_buffer();

  /// Appends all of `bytes`, or nothing when that would exceed the stream's limit or an account's.
  bool TryAppend(std::string_view bytes);

  /// Whether `bytes` could be appended now. Other streams may use up the capacity at any time.
  bool CanAppend(byte_count bytes) const;

  /// Moves the waiting bytes to the block to be written and returns it; empty if none are waiting.
  /// The block stays valid until `EndWrite`.
  const std::string& BeginWrite();
  /// Discards the written block and releases its bytes in the accounts.
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
