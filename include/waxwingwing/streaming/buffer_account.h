#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Limits the bytes that an organisation, or the whole process, may hold in buffers.
///
/// Accounts form a chain: a reservation in an organisation's account is also made in its parent,
/// the account of the process. Thread-safe.
class buffer_account {
 public:
  explicit buffer_account(byte_count limit, std::shared_ptr<buffer_account> parent = nullptr)
      : limit_(limit.get()), parent_(std::move(parent)) {}
  buffer_account(const buffer_account&) = delete;
  buffer_account& operator=(const buffer_account&) = delete;

  /// Reserves `bytes` in this account and its parents. Returns false, with nothing reserved, when
  /// the reservation would exceed the limit of one of them.
  bool TryReserve(byte_count bytes);
  /// Releases bytes that were reserved in this account and its parents.
  void Release(byte_count bytes);

  /// Sets the limit for later reservations; existing reservations stay, even above it.
  void SetLimit(byte_count limit) { limit_.store(limit.get(), std::memory_order_relaxed); }
  byte_count used() const { return byte_count(used_.load(std::memory_order_relaxed)); }

 private:
  std::atomic<std::uint64_t> limit_;
  std::atomic<std::uint64_t> used_{0};
  std::shared_ptr<buffer_account> parent_;
};

}  // namespace waxwingwing
