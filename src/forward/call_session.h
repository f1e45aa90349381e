#pragma once

#include <memory>
#include <optional>

#include "forward/caller_channel.h"
#include "forward/forward_call.h"
#include "forward/forward_core.h"

namespace waxwingwing {

/// Serves the requests of one caller's connection, one after the other.
class call_session : public std::enable_shared_from_this<call_session> {
 public:
  call_session(forward_core& core, asio::ip::tcp::socket socket);

  awaitable<void> Run();

  /// Closes the connection when its caller has been idle or sending for too long.
  void CloseIfExpired(time_point now);
  /// Closes the connection when no request is under way.
  void CloseIfIdle();
  bool serves_call() const { return serves_call_; }

 private:
  awaitable<bool> WaitForRequest();
  awaitable<std::optional<caller_request>> ReadRequest();
  void RefuseMalformed(const error_code& error);
  caller_limits Limits() const;

  forward_core& core_;
  std::shared_ptr<caller_channel> channel_;
  /// When the caller must have sent its next request.
  std::optional<time_point> expires_at_;
  bool idle_ = true;
  bool serves_call_ = false;
};

}  // namespace waxwingwing
