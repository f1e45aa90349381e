#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <mutex>

namespace waxwingwing {

/// Posts functions from any thread to a request thread. Safe while that thread shuts down.
///
/// Held by callbacks that may outlive the request thread's context: functions posted after `Close`
/// are dropped.
class mailbox {
 public:
  explicit mailbox(boost::asio::io_context& context) : context_(&context) {}
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;

  void Post(std::function<void()> function);
  void Close();

 private:
  std::mutex mutex_;
  boost::asio::io_context* context_;
};

}  // namespace waxwingwing
