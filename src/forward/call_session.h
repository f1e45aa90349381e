#pragma once

#include <memory>
#include <optional>

#include "forward/caller_channel.h"
#include "forward/forward_call.h"
#include "forward/forward_core.h"

namespace waxwingwing {

/// Serves the requests on one caller's connection sequentially, until the connection closes.
class call_session : public std::enable_shared_from_this<call_session> {
 public:
  call_session(forward_core& core, asio::ip::tcp::socket socket);

  /// Serves requests until the connection is closed.
  awaitable<void> Run();

  /// Closes the connection when its caller has exceeded the idle, header or body time-out.
  void CloseIfExpired(time_point now);
  /// Closes the connection unless a request is under way or bytes of one have arrived.
  void CloseIfIdle();
  bool serves_call() const { return serves_call_; }

 private:
  awaitable<bool> WaitForRequest();
  bool HasUnreadBytes() const;
  void CancelRead();
  awaitable<std::optional<caller_request>> ReadRequest();
  void RefuseMalformed(const error_code& error);
  caller_limits Limits() const;

  forward_core& core_;
  std::shared_ptr<caller_channel> channel_;
  /// Deadline for the caller's next request; absent while a request is being served.
  std::optional<time_point> expires_at_;
  /// Whether the session waits for the first bytes of a request.
  bool idle_ = false;
  bool serves_call_ = false;
};

}  // namespace waxwingwing
