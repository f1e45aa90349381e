#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "forward/carriage.h"
#include "forward/forward_core.h"
#include "forward/work_meter.h"
#include "waxwingwing/streaming/event_splitter.h"

namespace waxwingwing {

/// Status and headers of a backend server's response, and its body unless that is streamed to the
/// caller as it arrives.
struct server_response {
  unsigned status = 0;
  std::string reason;
  http_fields fields;
  response_metadata metadata;
  /// What a carrier tells about its answer.
  carried_answer carried;
  std::string body;
};

/// The request to send to a backend server, and how its response is to be processed.
struct exchange_plan {
  dispatch_candidate target;
  /// The serialised head of the HTTP request.
  std::string head;
  /// The body, which the receiver keeps unchanged while the exchange lives.
  std::string_view body;
  request_id id;
  bool head_only = false;
  /// Forward events as they arrive instead of buffering the whole response, if it is a stream.
  bool stream = false;
  /// The request must not be sent again unless it is certain that no server has run it.
  bool at_most_once = false;
  /// The request was sent to a server without a free place, where others may start before it.
  bool queues_late = false;
  /// Id of the last stream event that the caller has received.
  std::optional<std::uint64_t> last_event;
  /// The target is another VM, which takes the request over.
  bool is_carried = false;
  /// More events follow `last_event`: an earlier run has broken off within one.
  bool more_follow = false;
  /// Latency objective: time within which the response should start.
  duration objective{};
  /// Time-out for the start of the response, after which the request may be retried elsewhere.
  duration first_limit{};
  time_point deadline{};
  /// Expected work; absent when the cost of the request is not known.
  std::optional<exchange_work> work;
};

enum class exchange_abort {
  kNone,
  kCallerLeft,
  kDeadline,
  kConnectLimit,
  /// Another server answered a request for which this one had not begun an answer in time.
  kFirstLimit,
  /// Another server resumed a stream on which this one had fallen silent.
  kStall,
  /// The server that the exchange was to replace went on by itself.
  kSuperseded,
  /// The server stated, before the request was sent, that it wants no more requests.
  kWithdrawn,
  /// This VM has lost its paths to all servers.
  kPathsLost,
};

const char* NameOf(exchange_abort abort_reason);

class server_exchange;

/// Receives the events of exchanges and learns which of them make no progress.
class exchange_receiver {
 public:
  virtual ~exchange_receiver() = default;
  /// Receives complete events of the exchange that directly follow its earlier ones.
  virtual void OnEvents(const server_exchange& exchange, std::string_view events) = 0;
  /// Whether the caller still waits for the answer; asks the operating system, because the event of
  /// its disconnection may not have been handled yet.
  virtual bool IsCallerConnected() = 0;
  /// Waits while the caller reads too slowly; returns false when it has disconnected.
  virtual awaitable<bool> WaitForCaller() = 0;
  /// Called at each check while the exchange makes no progress, so that the request may be sent to
  /// another server, too. `reason`: kFirstLimit or kStall.
  virtual void OnNoProgress(const server_exchange& exchange, exchange_abort reason) = 0;
};

enum class exchange_outcome {
  /// The whole response was received; its events, if any, were forwarded.
  kComplete,
  /// No byte of the request left this VM.
  kNotSent,
  /// The request may have run, but no complete response was received.
  kBroken,
  /// Aborted by this VM; `server_exchange::abort_reason` holds the reason.
  kAborted,
};

/// Sends one request to one backend server, from connecting to the end of the response.
///
/// Counts as a request at the server from its construction until the end of `Run`. `Check` must be
/// called periodically to enforce the time limits. `receiver` must outlive the exchange.
class server_exchange {
 public:
  server_exchange(forward_core& core, exchange_plan plan, exchange_receiver& receiver);
  ~server_exchange();
  server_exchange(const server_exchange&) = delete;
  server_exchange& operator=(const server_exchange&) = delete;

  awaitable<exchange_outcome> Run();
  /// Aborts the exchange; the closed connection signals the server to cancel the request.
  void Abort(exchange_abort abort_reason);
  /// Ends the exchange, if the request may still go another way, because this VM has lost its paths
  /// to all servers.
  void OnPathsLost();
  /// Enforces the time limits and detects stalled streams of the server.
  void Check(time_point now);

  const server_response& response() const { return response_; }
  server_response& response() { return response_; }
  const dispatch_candidate& target() const { return plan_.target; }
  exchange_abort abort_reason() const { return abort_reason_; }
  const std::string& failure() const { return failure_; }
  bool response_started() const { return response_started_; }
  /// When the request was sent, if it was sent to a server.
  std::optional<time_point> waits_since() const {
    return plan_.is_carried ? std::nullopt : sent_at_;
  }
  /// Whether the response is a stream whose events are forwarded as they arrive.
  bool passes_events() const { return pass_events_; }
  /// Number of times that events arrived and were forwarded.
  std::size_t event_arrivals() const { return event_arrivals_; }
  /// Number of events that were forwarded.
  std::size_t event_count() const { return splitter_.event_count(); }
  /// Whether the server has gone on with the request: it has sent an event, or an end that does not
  /// rest on the end of the connection alone.
  bool shows_progress() const { return event_count() > 0 || !ends_with_connection_; }
  /// Whether the stream broke off within an event.
  bool broke_within_event() const { return !splitter_.AtEventBoundary(); }
  /// Id of the last event that was forwarded, or that the caller had before.
  std::optional<std::uint64_t> last_event() const { return splitter_.last_id(); }

 private:
  using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  awaitable<bool> Connect();
  /// Whether a request that could not be sent shows a fault of the server, rather than that this VM
  /// no longer wanted to send it.
  bool IsServerAtFault() const;
  awaitable<exchange_outcome> Send();
  /// Whether the server may still get the request, and the caller wants it; a connection may have
  /// taken a while.
  bool MaySend();
  awaitable<bool> ReadHead();
  /// Records what the answering server states about itself.
  void RecordNotice();
  void RecordUnreadableHead(const error_code& error);
  /// Whether the response is a refusal that may belong to an earlier request on the connection, and
  /// the request must not be taken as "not run" for that reason.
  bool IsUnclearRefusal() const;
  /// Whether the response, which states this request's id or none, cannot be that to an earlier
  /// request on the connection.
  bool IsSurelyOwn() const;
  awaitable<bool> ReadBody();
  /// Whether a response that ended with its connection, without a length or chunks, may be taken as
  /// whole. The bytes alone do not tell: the connections of a killed process end in the same way.
  awaitable<bool> IsWholeAtConnectionEnd(duration awaited_end);
  /// Why such a response is certainly not whole or hardly can be; empty when nothing speaks against
  /// it. `awaited_end`: how long the end came after what was before it.
  std::string_view FaultOfConnectionEnd(duration awaited_end);
  awaitable<bool> SkipBody();
  bool ProcessBytes(std::string_view bytes);
  /// Buffers a part of the body; returns false when the buffers that are left do not suffice.
  bool AppendToBody(std::string_view bytes);
  void RecordResponseStart();
  void CheckStall(time_point now, server_load& load);
  /// Whether the wait for the first event is due to a fault of the server rather than to its queue.
  bool IsStuck(time_point now, const server_load& load) const;
  exchange_outcome RecordFailure(std::string_view step, const error_code& error);
  /// Load of the server; of a carrier one that nobody else sees.
  server_load& Load();
  /// Whether the server stated that it has not run the request.
  bool IsRefused() const;
  void RecordRefusal();
  void Finish();

  forward_core& core_;
  const exchange_plan plan_;
  exchange_receiver& receiver_;
  std::unique_ptr<server_connection> connection_;
  std::optional<parser_type> parser_;
  event_splitter splitter_;
  server_response response_;
  server_load carrier_load_;
  std::string failure_;
  time_point started_at_{};
  work_meter work_;
  std::optional<time_point> sent_at_;
  std::size_t event_arrivals_ = 0;
  bool pass_events_ = false;
  /// Whether only the end of the connection shows where the response's body ends.
  bool ends_with_connection_ = false;
  bool response_started_ = false;
  bool stall_reported_ = false;
  bool congestion_noted_ = false;
  exchange_abort abort_reason_ = exchange_abort::kNone;
};

}  // namespace waxwingwing
