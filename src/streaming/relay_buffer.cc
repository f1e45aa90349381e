#include "waxwingwing/streaming/relay_buffer.h"

#include <cassert>
#include <utility>

namespace waxwingwing {

relay_buffer::relay_buffer(byte_count limit, std::shared_ptr<buffer_account> account)
    : limit_(limit), account_(std::move(account)) {
  assert(account_ != nullptr);
}

relay_buffer::~relay_buffer() {
  if (!empty()) account_->Release(size());
}

bool relay_buffer::TryAppend(std::string_view bytes) {
  const byte_count added(bytes.size());
  if (size() + added > limit_) return false;
  if (!account_->TryReserve(added)) return false;
  waiting_ += bytes;
  return true;
}

bool relay_buffer::CanAppend(byte_count bytes) const {
  if (size() + bytes > limit_) return false;
  if (!account_->TryReserve(bytes)) return false;
  account_->Release(bytes);
  return true;
}

const std::string& relay_buffer::BeginWrite() {
  assert(writing_.empty());
  std::swap(waiting_, writing_);
  return writing_;
}

void relay_buffer::EndWrite() {
  account_->Release(byte_count(writing_.size()));
  writing_.clear();
}

}  // namespace waxwingwing
