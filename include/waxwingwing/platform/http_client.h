#pragma once

// g++ 12 needs <utility> before the awaitable header of Boost 1.74.
#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/metrics/metrics_registry.h"

namespace waxwingwing {

struct http_header {
  std::string name;
  std::string value;
};

/// Time limits for the body of an answer.
struct body_time_limits {
  /// Longest time without a byte.
  milliseconds pause{};
  /// Longest time from the head to the last byte.
  milliseconds total{};
};

struct http_request {
  /// `ip:port`.
  std::string address;
  std::string method = "GET";
  std::string target;
  std::vector<http_header> headers;
  /// A header that the server repeats in its answer, with a value that no other request has.
  /// Answers with another value are skipped. An answer without the header counts only as the first
  /// response on its connection, and only an answer with it lets the connection be kept; see also
  /// `unidentified_group`.
  std::optional<http_header> answer_id;
  /// Requests to one address with the same value share connections on which the server does not
  /// repeat `answer_id`. An answer there may be the copy of one to an earlier request of the group.
  /// Empty: such connections are not kept.
  std::string unidentified_group;
  std::string body;
  /// For the whole exchange, from connecting to the last byte of the answer; until the head of the
  /// answer when `body_limits` are given.
  milliseconds timeout{1000};
  /// For answers whose size decides how long they take.
  std::optional<body_time_limits> body_limits;
  /// Maximum size of the answer's body; the exchange fails when it is exceeded.
  byte_count body_limit{std::uint64_t{1} << 20U};
  /// Whether an idle connection may be used and the connection may be kept afterwards.
  bool reuse_connection = true;
  /// Asked right before the first byte is sent; the request is not sent when it returns false. Not
  /// set: the request may always be sent.
  std::function<bool()> may_send;
  /// Resets the connection when the exchange fails, so that bytes which the network still holds do
  /// not reach the server later.
  bool reset_on_failure = false;
  /// Called when the head of an answer has arrived.
  std::function<void()> on_head;
  /// Label of the byte counters.
  std::string_view service = "other";
};

struct http_reply {
  std::uint32_t status = 0;
  std::vector<http_header> headers;
  std::string body;

  /// Value of the first header of that name (any case); empty when there is none.
  std::string_view Header(std::string_view name) const;
};

/// How far an exchange came on its last connection, for log lines. Times count from the call.
struct exchange_progress {
  /// Absent when there was no connection, or no head of an answer.
  std::optional<duration> connected_after;
  std::optional<duration> head_after;
  duration ended_after{};
  /// Bytes of answers, with their heads.
  std::size_t bytes_received = 0;
};

/// Result of an exchange: a reply or a failure, and whether the request was sent.
struct http_exchange {
  result<http_reply> reply;
  /// No byte of the request left this process. Never true when there is a reply.
  bool not_sent = false;
  exchange_progress progress = {};
};

/// Sends single HTTP requests to `ip:port` addresses and keeps idle connections for reuse.
///
/// A reused connection that fails before any byte of the answer is replaced by a new one once, for
/// GET only. A time-out drops all idle connections of the address, because established connections
/// can stop delivering data while new ones work. Use from one `io_context` thread; must outlive its
/// exchanges.
class http_client {
 public:
  /// Counts bytes by service as `waxwingwing_platform_bytes_{sent,received}_total` when `metrics`
  /// is given; it must outlive the client.
  explicit http_client(metrics_registry* metrics = nullptr);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  boost::asio::awaitable<http_exchange> Exchange(http_request request);
  /// Closes the idle connections to an address, which may have gone silent.
  void DropIdle(const std::string& address);
  /// Like `Exchange`, for callers that do not need to know whether a failed request was sent.
  boost::asio::awaitable<result<http_reply>> Send(http_request request);

 private:
  class connection_pool;
  boost::asio::awaitable<http_exchange> Run(http_request request, time_point called_at,
                                            exchange_progress& progress);
  void CountBytes(std::string_view service, std::size_t sent, std::size_t received);

  metrics_registry* metrics_;
  std::unique_ptr<connection_pool> idle_;
};

}  // namespace waxwingwing
