#include "forward/server_exchange.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "waxwingwing/platform/ip_endpoint.h"
#include "waxwingwing/platform/response_reader.h"

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

/// Buffer size for reading a response body, in bytes.
constexpr std::size_t kReadSize = 8192;
/// Maximum size of a response's status line and headers, in bytes.
constexpr std::uint32_t kMaxResponseHeadBytes = 16 * 1024;
/// Maximum number of responses to other requests that are skipped before the expected one.
constexpr int kMaxForeignResponses = 3;

/// Whether the body may consist of events; servers may leave out the type.
bool MayBeEventStream(const http_fields& fields) {
  static constexpr std::string_view kType = "text/event-stream";
  const auto type = fields[http::field::content_type];
  return type.empty() || boost::beast::iequals(type.substr(0, kType.size()), kType);
}

}  // namespace

const char* NameOf(exchange_abort abort_reason) {
  static constexpr std::array kNames = {"none",          "caller_left", "deadline",
                                        "connect_limit", "first_limit", "stall",
                                        "superseded",    "withdrawn",   "paths_lost"};
  return kNames.at(static_cast<std::size_t>(abort_reason));
}

server_exchange::server_exchange(forward_core& core, exchange_plan plan,
                                 exchange_receiver& receiver)
    : core_(core),
      plan_(std::move(plan)),
      receiver_(receiver),
      splitter_(byte_count(core.options.max_event_bytes)),
      started_at_(core.Now()),
      work_(core, plan_.target, plan_.work, started_at_) {
  if (plan_.last_event) splitter_.ContinueAfter(*plan_.last_event);
  core_.exchanges.insert(this);
  Load().RequestSent(started_at_);
}

server_load& server_exchange::Load() {
  return plan_.is_carried ? carrier_load_ : core_.selection.LoadOf(plan_.target.server);
}

server_exchange::~server_exchange() {
  core_.exchanges.erase(this);
  core_.buffered_bytes -= response_.body.size();
}

void server_exchange::Abort(exchange_abort abort_reason) {
  if (abort_reason_ != exchange_abort::kNone) return;
  abort_reason_ = abort_reason;
  error_code ignored;
  if (connection_) connection_->socket.close(ignored);
}

void server_exchange::OnPathsLost() {
  // The answer to a request that must not be sent again may still arrive.
  if (plan_.is_carried || (sent_at_ && plan_.at_most_once)) return;
  Abort(exchange_abort::kPathsLost);
}

exchange_outcome server_exchange::RecordFailure(std::string_view step, const error_code& error) {
  const bool is_broken_off =
      abort_reason_ != exchange_abort::kNone && abort_reason_ != exchange_abort::kConnectLimit;
  // Servers close idle connections.
  const bool was_idle = !sent_at_ && connection_ && connection_->reused;
  if (!plan_.is_carried && !is_broken_off && !was_idle) core_.paths.RecordFailure();
  if (failure_.empty()) failure_ = std::string(step) + ": " + error.message();
  return exchange_outcome::kBroken;
}

awaitable<exchange_outcome> server_exchange::Run() {
  server_load& load = Load();
  exchange_outcome end = exchange_outcome::kNotSent;
  const bool connected = co_await Connect();
  if (connected) end = co_await Send();
  if (abort_reason_ != exchange_abort::kNone && end != exchange_outcome::kComplete &&
      end != exchange_outcome::kNotSent) {
    end = exchange_outcome::kAborted;
  }
  const bool failed = end == exchange_outcome::kBroken ||
                      (end == exchange_outcome::kNotSent && IsServerAtFault()) ||
                      abort_reason_ == exchange_abort::kFirstLimit;
  load.RequestEnded(response_started_, failed, core_.Now());
  work_.End();
  core_.exchanges.erase(this);
  if (end == exchange_outcome::kComplete) {
    if (IsRefused()) RecordRefusal();
    Finish();
  }
  connection_.reset();
  core_.WakeWaiting();
  co_return end;
}

bool server_exchange::IsServerAtFault() const {
  return abort_reason_ == exchange_abort::kNone || abort_reason_ == exchange_abort::kConnectLimit;
}

awaitable<bool> server_exchange::Connect() {
  if (abort_reason_ != exchange_abort::kNone) co_return false;
  connection_ = core_.pool.Take(plan_.target.address, plan_.id, started_at_);
  if (connection_) co_return true;
  const auto endpoint = ParseIpEndpoint(plan_.target.address);
  if (!endpoint) {
    failure_ = endpoint.reason();
    co_return false;
  }
  connection_ = std::make_unique<server_connection>(core_.context.get_executor());
  error_code error;
  co_await connection_->socket.async_connect(*endpoint, StoreError(error));
  if (!error && abort_reason_ == exchange_abort::kNone) {
    connection_->socket.set_option(asio::ip::tcp::no_delay(true), error);
    connection_->socket.non_blocking(true, error);
    co_return true;
  }
  RecordFailure("connecting", error);
  if (!IsServerAtFault()) co_return false;
  core_.pool.Drop(plan_.target.address);
  if (plan_.is_carried) co_return false;
  Load().Suspend(core_.Now() + core_.options.suspension);
  co_return false;
}

bool server_exchange::MaySend() {
  if (core_.Now() >= plan_.deadline) Abort(exchange_abort::kDeadline);
  // A busy VM may read a request only after its caller has left.
  if (!receiver_.IsCallerConnected()) Abort(exchange_abort::kCallerLeft);
  if (abort_reason_ != exchange_abort::kNone) return false;
  if (!core_.selection.IsWithdrawn(plan_.target, core_.Now())) return true;
  abort_reason_ = exchange_abort::kWithdrawn;
  failure_ = "the server wants no more requests";
  return false;
}

awaitable<exchange_outcome> server_exchange::Send() {
  if (!MaySend()) co_return exchange_outcome::kNotSent;
  error_code error;
  const std::array<asio::const_buffer, 2> request = {asio::buffer(plan_.head),
                                                     asio::buffer(plan_.body)};
  const std::size_t sent = connection_->socket.write_some(request, error);
  if (error && error != asio::error::would_block) {
    // The server closed the idle connection before any byte of the request was sent.
    RecordFailure("sending", error);
    co_return exchange_outcome::kNotSent;
  }
  sent_at_ = core_.Now();
  if (sent < asio::buffer_size(request)) {
    boost::beast::buffers_suffix<std::array<asio::const_buffer, 2>> rest(request);
    rest.consume(sent);
    co_await asio::async_write(connection_->socket, rest, StoreError(error));
    if (error) co_return RecordFailure("sending", error);
  }
  const bool has_head = co_await ReadHead();
  if (!has_head) co_return exchange_outcome::kBroken;
  const bool has_body = co_await ReadBody();
  co_return has_body ? exchange_outcome::kComplete : exchange_outcome::kBroken;
}

awaitable<bool> server_exchange::ReadHead() {
  for (int skipped_responses = 0; skipped_responses <= kMaxForeignResponses; ++skipped_responses) {
    const response_limits limits{kMaxResponseHeadBytes, core_.options.max_response_bytes};
    const head_result head = co_await ReadResponseHead(connection_->socket, connection_->buffer,
                                                       parser_, limits, plan_.head_only);
    if (head.error) {
      RecordUnreadableHead(head.error);
      co_return false;
    }
    if (!plan_.is_carried) core_.paths.RecordContact();
    const auto& message = parser_->get();
    response_.metadata = core_.codec.ReadResponseMetadata(message.result_int(), message);
    if (IsUnclearRefusal()) {
      failure_ = "a refusal without a request id on a reused connection";
      co_return false;
    }
    if (response_.metadata.id.empty() || response_.metadata.id == plan_.id) {
      response_.status = message.result_int();
      response_.reason = std::string(message.reason());
      response_.fields = message;
      if (plan_.is_carried) response_.carried = TakeCarriedAnswer(response_.fields);
      if (IsSurelyOwn()) RecordNotice();
      const bool own = response_.metadata.authentic && !response_.metadata.encoded;
      pass_events_ =
          plan_.stream && response_.status == 200 && own && MayBeEventStream(response_.fields);
      if (!pass_events_) RecordResponseStart();
      co_return true;
    }
    core_.metrics.Counter("waxwingwing_foreign_answers_total").Increment();
    const bool skipped = co_await SkipBody();
    if (!skipped) co_return false;
  }
  failure_ = "received only responses to other requests";
  co_return false;
}

void server_exchange::RecordNotice() {
  dispatch_candidate server = plan_.target;
  if (plan_.is_carried) {
    // What a server has stated in an answer binds each VM that has passed the answer on.
    if (response_.carried.server.empty()) return;
    server.server = response_.carried.server;
    server.born = response_.carried.born;
  }
  core_.RecordNotice(server, response_.metadata.notice);
}

void server_exchange::RecordUnreadableHead(const error_code& error) {
  if (!IsResponseError(error)) {
    RecordFailure("reading the response head", error);
    return;
  }
  RecordFailure(fmt::format("response with status {}", parser_->get().result_int()), error);
  core_.metrics.Counter("waxwingwing_malformed_responses_total", {{"reason", error.message()}})
      .Increment();
}

bool server_exchange::IsUnclearRefusal() const {
  // Faulty servers repeat the refusal of an earlier request.
  return plan_.at_most_once && connection_->reused && response_.metadata.id.empty() && IsRefused();
}

bool server_exchange::IsSurelyOwn() const {
  return response_.metadata.id == plan_.id || !connection_->reused;
}

bool server_exchange::IsRefused() const {
  return response_.metadata.not_executed || response_.metadata.wrong_server;
}

void server_exchange::RecordRefusal() {
  // Other requests do not depend on the refusal being their own.
  if (plan_.at_most_once) {
    core_.log.Write("request_refused_by_server",
                    {{"request", plan_.id.str()},
                     {"server", plan_.target.server.str()},
                     {"address", plan_.target.address},
                     {"status", response_.status},
                     {"id_stated", !response_.metadata.id.empty()},
                     {"connection_reused", connection_->reused},
                     {"refused_before", connection_->refused.Contains(plan_.id)}},
                    event_log::importance::kRoutine);
  }
  connection_->refused.Add(plan_.id);
}

awaitable<bool> server_exchange::SkipBody() {
  std::array<char, kReadSize> bytes;
  error_code error;
  while (!error && !parser_->is_done()) {
    parser_->get().body().data = bytes.data();
    parser_->get().body().size = bytes.size();
    co_await http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                                   StoreError(error));
    if (error == http::error::need_buffer) error = {};
  }
  if (error) RecordFailure("skipping the response to another request", error);
  co_return !error;
}

awaitable<bool> server_exchange::ReadBody() {
  std::array<char, kReadSize> bytes;
  ends_with_connection_ = !parser_->is_done() && parser_->need_eof();
  time_point read_at{};
  while (!parser_->is_done()) {
    read_at = core_.Now();
    parser_->get().body().data = bytes.data();
    parser_->get().body().size = bytes.size();
    parser_->get().body().more = true;
    error_code error;
    co_await http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                                   StoreError(error));
    if (error == http::error::need_buffer) error = {};
    const std::size_t size = bytes.size() - parser_->get().body().size;
    if (size > 0 && !ProcessBytes({bytes.data(), size})) co_return false;
    if (error) {
      RecordFailure("reading the response body", error);
      co_return false;
    }
    if (pass_events_) {
      const bool caller_connected = co_await receiver_.WaitForCaller();
      if (!caller_connected) co_return false;
    }
  }
  if (pass_events_ && !splitter_.AtEventBoundary()) {
    failure_ = "the stream ends within an event";
    co_return false;
  }
  if (!ends_with_connection_) co_return true;
  co_return co_await IsWholeAtConnectionEnd(core_.Now() - read_at);
}

awaitable<bool> server_exchange::IsWholeAtConnectionEnd(duration awaited_end) {
  // A refusal is whole with its head.
  if (IsRefused()) co_return true;
  failure_ = FaultOfConnectionEnd(awaited_end);
  if (failure_.empty()) {
    const process_state state = co_await core_.processes.Run(plan_.target.address);
    if (state != process_state::kRunning) {
      failure_ = fmt::format("only the connection's end shows that of the response, process: {}",
                             NameOf(state));
    }
  }
  const bool is_whole = failure_.empty() && abort_reason_ == exchange_abort::kNone;
  core_.metrics
      .Counter("waxwingwing_unframed_answers_total", {{"taken_as", is_whole ? "whole" : "broken"}})
      .Increment();
  co_return is_whole;
}

std::string_view server_exchange::FaultOfConnectionEnd(duration awaited_end) {
  if (!pass_events_) return {};
  const bool may_be_empty = plan_.last_event && !plan_.more_follow;
  if (event_count() == 0 && !may_be_empty) return "the stream ended before its next event";
  if (splitter_.IsBehind()) return "the stream ended before the event after which it was to go on";
  const server_load& load = Load();
  const duration limit = std::max<duration>(core_.options.migration_limit, load.SilenceLimit());
  if (event_count() > 0 && awaited_end > limit) return "the stream ended after a long silence";
  return {};
}

bool server_exchange::ProcessBytes(std::string_view bytes) {
  if (abort_reason_ != exchange_abort::kNone) return false;
  if (!plan_.is_carried) core_.paths.RecordContact();
  if (!pass_events_) return AppendToBody(bytes);
  std::string events;
  const std::size_t events_before = splitter_.event_count();
  const auto verdict = splitter_.Feed(bytes, events);
  if (!events.empty()) {
    if (!response_started_) RecordResponseStart();
    work_.OnEvents(splitter_.event_count() - events_before, core_.Now());
    Load().EventArrived(core_.Now());
    ++event_arrivals_;
    receiver_.OnEvents(*this, events);
  }
  if (verdict == event_splitter::verdict::kOk) return true;
  failure_ = verdict == event_splitter::verdict::kTooLarge ? "an event is too large"
                                                           : "an event is missing or malformed";
  return false;
}

bool server_exchange::AppendToBody(std::string_view bytes) {
  const bool is_small = response_.body.size() + bytes.size() <= core_.options.small_response_bytes;
  if (!is_small && core_.buffered_bytes + bytes.size() > core_.options.max_buffered_bytes) {
    failure_ = "the response is too large for the buffers that are left";
    return false;
  }
  response_.body += bytes;
  core_.buffered_bytes += bytes.size();
  return true;
}

void server_exchange::RecordResponseStart() {
  response_started_ = true;
  const time_point now = core_.Now();
  Load().AnswerBegun(now, started_at_, plan_.objective);
}

void server_exchange::Finish() {
  if (!parser_->keep_alive() || connection_->buffer.size() > 0) return;
  connection_->reused = true;
  core_.pool.Keep(plan_.target.address, std::move(connection_), response_.metadata.idle_limit,
                  core_.Now());
}

void server_exchange::Check(time_point now) {
  if (abort_reason_ != exchange_abort::kNone) return;
  if (now >= plan_.deadline) return Abort(exchange_abort::kDeadline);
  if (!sent_at_) {
    if (now - started_at_ > core_.options.connect_limit) Abort(exchange_abort::kConnectLimit);
    return;
  }
  // The carrier watches the server.
  if (plan_.is_carried) return;
  server_load& load = Load();
  if (!response_started_ && !congestion_noted_ && now - *sent_at_ > plan_.objective) {
    congestion_noted_ = true;
    load.RecordCongestion(now);
  }
  if (!response_started_ && now - *sent_at_ > plan_.first_limit && IsStuck(now, load)) {
    receiver_.OnNoProgress(*this, exchange_abort::kFirstLimit);
  }
  if (plan_.stream) CheckStall(now, load);
}

bool server_exchange::IsStuck(time_point now, const server_load& load) const {
  if (!plan_.stream) return true;
  // A request may wait long behind the prompts of other requests without any fault; it would wait
  // on another server, too.
  const bool advances = load.last_event() && now - *load.last_event() < load.SilenceLimit();
  return !advances || load.IsOvertaken(*sent_at_, core_.options.overtaken_margin);
}

void server_exchange::CheckStall(time_point now, server_load& load) {
  const duration silence = load.SilenceOfStreams(now);
  const duration limit = load.SilenceLimit();
  const bool streams_silent = silence > limit;
  // Without a running stream, a group is also suspected when it has started no request for long.
  const bool no_request_starts = !plan_.queues_late && silence == duration::zero() &&
                                 !response_started_ &&
                                 now - *sent_at_ > core_.options.first_event_limit / 2 &&
                                 (!load.last_event() || now - *load.last_event() > limit);
  if (!streams_silent && !no_request_starts) return;
  if (!stall_reported_) {
    stall_reported_ = true;
    core_.ReportStall(plan_.target, streams_silent ? "streams_silent" : "nothing_begins",
                      streams_silent ? silence : now - *sent_at_);
  }
  if (streams_silent && silence > std::max<duration>(core_.options.migration_limit, limit)) {
    receiver_.OnNoProgress(*this, exchange_abort::kStall);
  }
}

}  // namespace waxwingwing
