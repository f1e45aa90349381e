#include "waxwingwing/streaming/buffer_account.h"

#include <cassert>

namespace waxwingwing {

bool buffer_account::TryReserve(byte_count bytes) {
  std::uint64_t used = used_.load(std::memory_order_relaxed);
  do {
    if (used + bytes.get() > limit_.load(std::memory_order_relaxed)) return false;
  } while (!used_.compare_exchange_weak(used, used + bytes.get(), std::memory_order_relaxed));
  if (parent_ == nullptr || parent_->TryReserve(bytes)) return true;
  used_.fetch_sub(bytes.get(), std::memory_order_relaxed);
  return false;
}

void buffer_account::Release(byte_count bytes) {
  [[maybe_unused]] const std::uint64_t before =
      used_.fetch_sub(bytes.get(), std::memory_order_relaxed);
  assert(before >= bytes.get());
  if (parent_ != nullptr) parent_->Release(bytes);
}

}  // namespace waxwingwing
