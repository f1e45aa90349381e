#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Counts the bytes that an organisation, or the whole process, has buffered, and enforces a limit.
///
/// Accounts form a chain: a reservation in an organisation's account is also one in its parent, the
/// process account. Safe for use by several threads.
class buffer_account {
 public:
  explicit buffer_account(byte_count limit, std::shared_ptr<buffer_account> parent = nullptr)
      : limit_(limit.get()), parent_(std::move(parent)) {}
  buffer_account(const buffer_account&) = delete;
  buffer_account& operator=(const buffer_account&) = delete;

  /// Reserves `bytes` in this account and its parents; false, with nothing reserved, when one of
  /// them has no room.
  bool TryReserve(byte_count bytes);
  /// Gives back what was reserved.
  void Release(byte_count bytes);

  /// A new limit applies to later reservations; what is reserved stays.
  void SetLimit(byte_count limit) { limit_.store(limit.get(), std::memory_order_relaxed); }
  byte_count used() const { return byte_count(used_.load(std::memory_order_relaxed)); }

 private:
  std::atomic<std::uint64_t> limit_;
  std::atomic<std::uint64_t> used_{0};
  std::shared_ptr<buffer_account> parent_;
};

}  // namespace waxwingwing
