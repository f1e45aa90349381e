#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <mutex>

namespace waxwingwing {

/// Lets other threads run functions on a request thread, also while that thread ends.
///
/// Shared by the callbacks that may outlive the request thread's context: after `Close` posted
/// functions are dropped.
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
