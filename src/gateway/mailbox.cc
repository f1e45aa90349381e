#include "gateway/mailbox.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace waxwingwing {

void mailbox::Post(std::function<void()> function) {
  const std::lock_guard lock(mutex_);
  if (context_ != nullptr) boost::asio::post(*context_, std::move(function));
}

void mailbox::Close() {
  const std::lock_guard lock(mutex_);
  context_ = nullptr;
}

}  // namespace waxwingwing
