#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "forward/caller_channel.h"
#include "forward/forward_call.h"
#include "forward/forward_core.h"
#include "waxwingwing/core/ingress_budget.h"

namespace waxwingwing {

/// What a connection waits for. Connections close in favour of new ones in this order.
enum class session_phase {
  /// An unfinished request was refused; the rest of it is discarded.
  kRefused,
  /// No byte of a request has arrived.
  kIdle,
  /// The request has ended, and its answer was not taken whole.
  kAnswer,
  /// A request has arrived in part.
  kRequest,
  /// A request is under way.
  kCall
};

/// From whom a connection comes.
enum class session_origin {
  kCaller,
  /// Another VM sends on requests of its callers, since it does not reach the servers.
  kVm
};

/// Serves the requests on one caller's connection sequentially, until the connection closes.
class call_session : public std::enable_shared_from_this<call_session> {
 public:
  call_session(forward_core& core, asio::ip::tcp::socket socket,
               session_origin origin = session_origin::kCaller);
  ~call_session();
  call_session(const call_session&) = delete;
  call_session& operator=(const call_session&) = delete;

  /// Serves requests until the connection is closed.
  awaitable<void> Run();

  /// Closes the connection when its caller has exceeded the idle, header or body time-out, or the
  /// time-out for taking an answer.
  void CloseIfExpired(time_point now);
  /// Closes the connection unless a request is under way or bytes of one have arrived.
  void CloseIfIdle();
  /// Closes the connection, which waits for its caller, in favour of a new one.
  void CloseForNewCaller();
  /// Accounts for the bytes of an answer that the caller has not taken. They may be ended when no
  /// byte of them was taken since the previous call.
  void CheckUnsent(time_point now);
  /// Sets the account to the bytes that are held while a request is served.
  void HoldUnsent(time_point now);
  /// Whether a request is under way or its answer is being sent.
  bool serves_call() const {
    return phase_ == session_phase::kCall || phase_ == session_phase::kAnswer;
  }
  /// Which connection closes first in favour of a new one: the least. Absent when this one must not
  /// close, or closes already.
  std::optional<std::pair<session_phase, time_point>> ClosingOrder() const;

 private:
  awaitable<bool> WaitForRequest();
  bool HasUnreadBytes() const;
  /// Serves the request until its answer was taken; returns whether the connection stays open.
  awaitable<bool> Serve(caller_request request);
  awaitable<bool> WaitUntilTaken();
  /// Discards what still arrives of a refused request; closing the socket with unread bytes would
  /// reset the connection before the caller has read the refusal.
  awaitable<void> DiscardRest();
  void CancelRead();
  awaitable<std::optional<caller_request>> ReadRequest();
  void RefuseMalformed(const error_code& error);
  /// Ends the connection, since the budget for callers' bytes is used up.
  void EndForMemory(std::size_t bytes);
  /// Refuses a request that was not read to its end; `head` may be incomplete.
  void RefuseUnread(const http_fields& head, std::string_view reason);
  void BeginRefusal();
  void AbortUntaken(std::string_view phase);
  caller_limits Limits() const;

  forward_core& core_;
  const session_origin origin_;
  std::shared_ptr<caller_channel> channel_;
  ingress_account account_;
  session_phase phase_ = session_phase::kIdle;
  /// Bytes of the request that is being served.
  std::size_t request_bytes_ = 0;
  /// Since when the caller has sent no whole request, or has taken nothing of an answer.
  std::optional<time_point> waits_since_;
  /// Deadline for the caller's next step; absent while a request is under way.
  std::optional<time_point> expires_at_;
  /// State of the unsent bytes at the previous sweep.
  bool was_unsent_ = false;
  std::uint64_t sent_at_sweep_ = 0;
  /// Whether the connection closes in favour of a new one.
  bool evicted_ = false;
};

}  // namespace waxwingwing
