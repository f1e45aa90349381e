#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "forward/forward_core.h"
#include "waxwingwing/streaming/event_splitter.h"

namespace waxwingwing {

/// Status and headers of a backend server's response, and its body unless that is streamed to the
/// caller as it arrives.
struct server_response {
  unsigned status = 0;
  std::string reason;
  http_fields fields;
  response_metadata metadata;
  std::string body;
};

/// The request to send to a backend server, and how its response is to be processed.
struct exchange_plan {
  dispatch_candidate target;
  /// The serialised HTTP request.
  std::string request;
  request_id id;
  bool head_only = false;
  /// Forward events as they arrive instead of buffering the whole response.
  bool stream = false;
  /// Id of the last stream event that the caller has received.
  std::optional<std::uint64_t> last_event;
  /// Latency objective: time within which the response should start.
  duration objective{};
  /// Time-out for the start of the response, after which the request may be retried elsewhere.
  duration first_limit{};
  time_point deadline{};
};

/// Receives the events of a stream and decides whether the stream may migrate.
class event_receiver {
 public:
  virtual ~event_receiver() = default;
  /// Receives complete events that directly follow the earlier ones; `response` holds the status
  /// and headers of the response that they belong to.
  virtual void OnEvents(const server_response& response, std::string_view events) = 0;
  /// Waits while the caller reads too slowly; returns false when it has disconnected.
  virtual awaitable<bool> WaitForCaller() = 0;
  /// Whether the request may move to another server now; if so, consumes a retry from the budget.
  virtual bool TryReserveMigration() = 0;
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

enum class exchange_abort { kNone, kCallerLeft, kDeadline, kConnectLimit, kFirstLimit, kStall };

const char* NameOf(exchange_abort abort_reason);

/// Sends one request to one backend server, from connecting to the end of the response.
///
/// `Check` must be called periodically to enforce the time limits. `receiver` must outlive the
/// exchange.
class server_exchange {
 public:
  server_exchange(forward_core& core, exchange_plan plan, event_receiver& receiver);
  ~server_exchange();
  server_exchange(const server_exchange&) = delete;
  server_exchange& operator=(const server_exchange&) = delete;

  awaitable<exchange_outcome> Run();
  /// Aborts the exchange; the closed connection signals the server to cancel the request.
  void Abort(exchange_abort abort_reason);
  /// Enforces the time limits and detects stalled streams of the server.
  void Check(time_point now);

  const server_response& response() const { return response_; }
  server_response& response() { return response_; }
  exchange_abort abort_reason() const { return abort_reason_; }
  const std::string& failure() const { return failure_; }
  bool response_started() const { return response_started_; }
  /// Whether the response is a stream whose events are forwarded as they arrive.
  bool passes_events() const { return pass_events_; }
  /// Id of the last event that was forwarded, or that the caller had before.
  std::optional<std::uint64_t> last_event() const { return splitter_.last_id(); }

 private:
  using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  awaitable<bool> Connect();
  awaitable<exchange_outcome> Send();
  awaitable<bool> ReadHead();
  awaitable<bool> ReadBody();
  awaitable<bool> SkipBody();
  bool ProcessBytes(std::string_view bytes);
  void RecordResponseStart();
  void CheckStall(time_point now, server_load& load);
  /// Whether the wait for the first event is due to a fault of the server rather than to its queue.
  bool IsStuck(time_point now, const server_load& load) const;
  exchange_outcome RecordFailure(std::string_view step, const error_code& error);
  void Finish();

  forward_core& core_;
  const exchange_plan plan_;
  event_receiver& receiver_;
  std::unique_ptr<server_connection> connection_;
  std::optional<parser_type> parser_;
  event_splitter splitter_;
  server_response response_;
  std::string failure_;
  time_point started_at_{};
  std::optional<time_point> sent_at_;
  bool pass_events_ = false;
  bool response_started_ = false;
  bool stall_reported_ = false;
  bool congestion_noted_ = false;
  exchange_abort abort_reason_ = exchange_abort::kNone;
};

}  // namespace waxwingwing
