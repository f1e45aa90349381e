#include "waxwingwing/platform/http_client.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/platform/ip_endpoint.h"
#include "waxwingwing/platform/request_target.h"
#include "waxwingwing/platform/response_reader.h"

namespace waxwingwing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp_stream = beast::tcp_stream;

constexpr std::uint32_t kHeaderLimit = 16 * 1024;
/// Maximum number of bytes that are read in advance; bounds a chunk's size line and a trailer, for
/// which the parser has no limit.
constexpr std::size_t kMaxBufferBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxIdlePerAddress = 4;
// Shorter than the idle time-outs common in servers, so that reuse rarely meets a closed
// connection.
constexpr auto kMaxIdleTime = std::chrono::seconds(10);
/// Maximum number of answers to other requests that are skipped before the expected one.
constexpr int kMaxForeignAnswers = 3;

/// Outcome of one attempt on one connection.
struct attempt_result {
  std::optional<http_reply> reply;
  std::string reason;
  bool response_started = false;
  bool timed_out = false;
  /// No byte was sent, because the request may no longer be sent.
  bool withheld = false;
  bool keep_connection = false;
  /// The answer stated the id of the request, or the request has none.
  bool identified = false;
  std::size_t bytes_sent = 0;
  std::size_t bytes_received = 0;
  std::optional<time_point> head_at;
};

/// To which request an answer belongs, by the header that identifies it.
enum class answer_owner { kThisRequest, kOtherRequest, kUnknown };

bool HasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

bool IsValidHeader(const http_header& header) {
  return !header.name.empty() && !HasLineBreak(header.name) && !HasLineBreak(header.value);
}

/// Validates a request. Returns the reason why it cannot be sent, or an empty text.
std::string InvalidRequestReason(const http_request& request) {
  if (request.method.empty() || HasLineBreak(request.method)) return "the method is not valid";
  if (!IsValidRequestTarget(request.target)) return "the target is not valid";
  const bool valid = std::all_of(request.headers.begin(), request.headers.end(), IsValidHeader);
  if (!valid || (request.answer_id && !IsValidHeader(*request.answer_id))) {
    return "a header is not valid";
  }
  return {};
}

http::request<http::string_body> ToBeastRequest(const http_request& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, request.address);
  for (const http_header& header : request.headers) message.set(header.name, header.value);
  if (request.answer_id) message.set(request.answer_id->name, request.answer_id->value);
  message.keep_alive(request.reuse_connection);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

http_reply ToHttpReply(http::response<http::string_body> message) {
  http_reply reply;
  reply.status = message.result_int();
  for (const auto& field : message) {
    reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  reply.body = std::move(message.body());
  return reply;
}

/// Whether the peer has neither closed the idle connection nor sent anything on it.
bool IsStillOpen(tcp_stream& stream) {
  auto& socket = stream.socket();
  error_code error;
  socket.non_blocking(true, error);
  if (error) return false;
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

attempt_result FailedAttempt(std::string_view step, const error_code& error) {
  attempt_result outcome;
  outcome.timed_out = error == beast::error::timeout;
  outcome.reason = std::string(step) + ": " + error.message();
  return outcome;
}

answer_owner OwnerOf(const http::fields& answer, const std::optional<http_header>& id) {
  if (!id) return answer_owner::kThisRequest;
  const auto stated = answer.find(id->name);
  if (stated == answer.end() || stated->value().empty()) return answer_owner::kUnknown;
  return stated->value() == id->value ? answer_owner::kThisRequest : answer_owner::kOtherRequest;
}

using response_parser = http::response_parser<http::string_body>;

/// Reads the rest of a response whose head was read; returns the number of bytes.
asio::awaitable<std::size_t> ReadBody(tcp_stream& stream, const http_request& request,
                                      beast::flat_buffer& buffer, response_parser& parser,
                                      error_code& error) {
  const auto& limits = request.body_limits;
  const time_point started_at = std::chrono::steady_clock::now();
  std::size_t bytes = 0;
  while (!error && !parser.is_done()) {
    if (limits) {
      stream.expires_at(
          std::min(std::chrono::steady_clock::now() + limits->pause, started_at + limits->total));
    }
    bytes += co_await http::async_read_some(stream, buffer, parser, StoreError(error));
  }
  co_return bytes;
}

/// Reads the next final response with its body and records it in `outcome`; false on failure.
asio::awaitable<bool> ReadResponse(tcp_stream& stream, const http_request& request,
                                   time_point deadline, beast::flat_buffer& buffer,
                                   std::optional<response_parser>& parser,
                                   attempt_result& outcome) {
  stream.expires_at(deadline);
  const response_limits limits{kHeaderLimit, request.body_limit.get()};
  // Beast 1.74 loses the body limit error of a header that it parses together with its body, so
  // the header is read separately.
  const head_result head =
      co_await ReadResponseHead(stream, buffer, parser, limits, request.method == "HEAD");
  error_code error = head.error;
  outcome.bytes_received += head.bytes;
  if (!error) {
    outcome.head_at = std::chrono::steady_clock::now();
    if (request.on_head) request.on_head();
    outcome.bytes_received += co_await ReadBody(stream, request, buffer, *parser, error);
  }
  outcome.response_started = outcome.bytes_received > 0 || parser->got_some() || buffer.size() > 0;
  if (!error) co_return true;
  outcome.timed_out = error == beast::error::timeout;
  outcome.reason = "receiving: " + error.message();
  co_return false;
}

/// Reads the answer to a request that was sent. `accepts_unidentified`: whether the next response
/// is the answer when it does not say to which request it belongs.
asio::awaitable<attempt_result> ReadAnswer(tcp_stream& stream, const http_request& request,
                                           time_point deadline, bool accepts_unidentified) {
  attempt_result outcome;
  beast::flat_buffer buffer(kMaxBufferBytes);
  std::optional<response_parser> parser;
  for (int skipped_answers = 0; skipped_answers <= kMaxForeignAnswers; ++skipped_answers) {
    const bool has_response =
        co_await ReadResponse(stream, request, deadline, buffer, parser, outcome);
    if (!has_response) co_return outcome;
    const answer_owner owner = OwnerOf(parser->get(), request.answer_id);
    if (owner == answer_owner::kOtherRequest) continue;
    outcome.identified = owner == answer_owner::kThisRequest;
    if (!outcome.identified && (!accepts_unidentified || skipped_answers > 0)) {
      outcome.reason = "an answer without an id on a used connection";
      co_return outcome;
    }
    outcome.keep_connection = request.reuse_connection && parser->keep_alive() &&
                              buffer.size() == 0 &&
                              (outcome.identified || !request.unidentified_group.empty());
    outcome.reply = ToHttpReply(parser->release());
    co_return outcome;
  }
  outcome.reason = "received only answers to other requests";
  co_return outcome;
}

asio::awaitable<attempt_result> RunAttempt(tcp_stream& stream, const http_request& request,
                                           time_point deadline, bool accepts_unidentified) {
  if (request.may_send && !request.may_send()) {
    attempt_result outcome;
    outcome.withheld = true;
    co_return outcome;
  }
  const auto message = ToBeastRequest(request);
  error_code error;
  stream.expires_at(deadline);
  const std::size_t sent =
      co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return FailedAttempt("sending", error);
  attempt_result outcome = co_await ReadAnswer(stream, request, deadline, accepts_unidentified);
  outcome.bytes_sent = sent;
  co_return outcome;
}

http_exchange NotSent(const http_request& request, const std::string& reason) {
  return {result<http_reply>::Failure(request.address + ": " + reason), true};
}

http_exchange Finished(const http_request& request, attempt_result outcome) {
  if (outcome.withheld) return NotSent(request, "the request may no longer be sent");
  if (outcome.reply) return {*std::move(outcome.reply), false};
  return {result<http_reply>::Failure(request.address + ": " + outcome.reason), false};
}

/// Sets whether closing the connection drops the bytes that were not delivered yet.
void SetResetOnClose(tcp_stream& stream, bool resets) {
  error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(resets, 0), ignored);
}

}  // namespace

/// Idle connections by address and, where the server does not state to which request an answer
/// belongs, by the group of requests; the newest is reused first.
class http_client::connection_pool {
 public:
  /// `group`: empty for connections on which all answers were identified.
  std::unique_ptr<tcp_stream> Take(const std::string& address, const std::string& group) {
    const key wanted(address, group);
    std::deque<entry>& kept = entries_[wanted];
    while (!kept.empty()) {
      entry newest = std::move(kept.back());
      kept.pop_back();
      const bool fresh = std::chrono::steady_clock::now() - newest.since < kMaxIdleTime;
      if (fresh && IsStillOpen(*newest.stream)) return std::move(newest.stream);
    }
    entries_.erase(wanted);
    return nullptr;
  }

  void Keep(const std::string& address, const std::string& group,
            std::unique_ptr<tcp_stream> stream) {
    stream->expires_never();
    RemoveExpired();
    std::deque<entry>& kept = entries_[key(address, group)];
    kept.push_back({std::move(stream), std::chrono::steady_clock::now()});
    if (kept.size() > kMaxIdlePerAddress) kept.pop_front();
  }

  /// Closes the idle connections of all groups to `address`.
  void Drop(const std::string& address) {
    const auto first = entries_.lower_bound(key(address, {}));
    auto last = first;
    while (last != entries_.end() && last->first.first == address) ++last;
    entries_.erase(first, last);
  }

 private:
  using key = std::pair<std::string, std::string>;

  struct entry {
    std::unique_ptr<tcp_stream> stream;
    time_point since;
  };

  /// Closes connections to addresses that are no longer in use, for example of replaced VMs.
  void RemoveExpired() {
    const time_point oldest = std::chrono::steady_clock::now() - kMaxIdleTime;
    for (auto& [destination, kept] : entries_) {
      while (!kept.empty() && kept.front().since < oldest) kept.pop_front();
    }
    std::erase_if(entries_, [](const auto& item) { return item.second.empty(); });
  }

  std::map<key, std::deque<entry>> entries_;
};

std::string_view http_reply::Header(std::string_view name) const {
  for (const http_header& header : headers) {
    if (beast::iequals(header.name, name)) return header.value;
  }
  return {};
}

http_client::http_client(metrics_registry* metrics)
    : metrics_(metrics), idle_(std::make_unique<connection_pool>()) {}

http_client::~http_client() = default;

void http_client::CountBytes(std::string_view service, std::size_t sent, std::size_t received) {
  if (metrics_ == nullptr) return;
  const metric_labels labels = {{"service", std::string(service)}};
  metrics_->Counter("waxwingwing_platform_bytes_sent_total", labels).Increment(sent);
  metrics_->Counter("waxwingwing_platform_bytes_received_total", labels).Increment(received);
}

asio::awaitable<http_exchange> http_client::Exchange(http_request request) {
  const time_point called_at = std::chrono::steady_clock::now();
  exchange_progress progress;
  http_exchange exchange = co_await Run(std::move(request), called_at, progress);
  progress.ended_after = std::chrono::steady_clock::now() - called_at;
  exchange.progress = progress;
  co_return exchange;
}

asio::awaitable<http_exchange> http_client::Run(http_request request, time_point called_at,
                                                exchange_progress& progress) {
  const std::string fault = InvalidRequestReason(request);
  if (!fault.empty()) co_return NotSent(request, fault);
  const auto endpoint = ParseIpEndpoint(request.address);
  if (!endpoint) co_return NotSent(request, endpoint.reason());
  const time_point deadline = called_at + request.timeout;

  const auto record = [&](const attempt_result& outcome, std::unique_ptr<tcp_stream> used) {
    progress.bytes_received = outcome.bytes_received;
    progress.head_after.reset();
    if (outcome.head_at) progress.head_after = *outcome.head_at - called_at;
    CountBytes(request.service, outcome.bytes_sent, outcome.bytes_received);
    if (outcome.reply && request.reset_on_failure) SetResetOnClose(*used, false);
    const std::string group = outcome.identified ? std::string() : request.unidentified_group;
    if (outcome.keep_connection) idle_->Keep(request.address, group, std::move(used));
    if (outcome.timed_out) idle_->Drop(request.address);
  };

  std::unique_ptr<tcp_stream> stream;
  bool unidentified = false;
  if (request.reuse_connection) {
    stream = idle_->Take(request.address, {});
    unidentified = !stream && !request.unidentified_group.empty();
    if (unidentified) stream = idle_->Take(request.address, request.unidentified_group);
  }
  if (stream) {
    progress.connected_after = std::chrono::steady_clock::now() - called_at;
    if (request.reset_on_failure) SetResetOnClose(*stream, true);
    attempt_result first = co_await RunAttempt(*stream, request, deadline, unidentified);
    record(first, std::move(stream));
    const bool may_retry = !first.response_started && !first.timed_out && request.method == "GET";
    if (!may_retry) co_return Finished(request, std::move(first));
  }

  progress.connected_after.reset();
  const auto executor = co_await asio::this_coro::executor;
  stream = std::make_unique<tcp_stream>(executor);
  stream->expires_at(deadline);
  error_code error;
  co_await stream->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return NotSent(request, "connecting: " + error.message());
  progress.connected_after = std::chrono::steady_clock::now() - called_at;
  stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
  // Set in advance, since the stream closes itself at the time-out.
  if (request.reset_on_failure) SetResetOnClose(*stream, true);
  attempt_result outcome = co_await RunAttempt(*stream, request, deadline, true);
  record(outcome, std::move(stream));
  co_return Finished(request, std::move(outcome));
}

void http_client::DropIdle(const std::string& address) { idle_->Drop(address); }

asio::awaitable<result<http_reply>> http_client::Send(http_request request) {
  http_exchange exchange = co_await Exchange(std::move(request));
  co_return std::move(exchange.reply);
}

}  // namespace waxwingwing
