#include "forward/server_exchange.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "waxwingwing/platform/ip_endpoint.h"

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

/// Buffer size for reading a response body, in bytes.
constexpr std::size_t kReadSize = 8192;
/// Maximum size of a response's status line and headers, in bytes.
constexpr std::uint32_t kMaxAnswerHead = 32 * 1024;
/// Maximum number of responses to other requests that are skipped before the expected one.
constexpr int kMaxForeignAnswers = 3;

}  // namespace

const char* NameOf(exchange_cut cut) {
  static constexpr std::array kNames = {"none",          "caller_left", "deadline",
                                        "connect_limit", "first_limit", "stall"};
  return kNames.at(static_cast<std::size_t>(cut));
}

server_exchange::server_exchange(forward_core& core, exchange_plan plan, event_receiver& receiver)
    : core_(core),
      plan_(std::move(plan)),
      receiver_(receiver),
      splitter_(byte_count(core.options.max_event)),
      started_at_(core.Now()) {
  if (plan_.last_event) splitter_.ContinueAfter(*plan_.last_event);
  core_.exchanges.insert(this);
}

server_exchange::~server_exchange() { core_.exchanges.erase(this); }

void server_exchange::Cut(exchange_cut cut) {
  if (cut_ != exchange_cut::kNone) return;
  cut_ = cut;
  error_code ignored;
  if (connection_) connection_->socket.close(ignored);
}

exchange_end server_exchange::Failed(std::string_view step, const error_code& error) {
  if (failure_.empty()) failure_ = std::string(step) + ": " + error.message();
  return exchange_end::kBroken;
}

awaitable<exchange_end> server_exchange::Run() {
  server_load& load = core_.selection.LoadOf(plan_.target.server);
  load.RequestSent(started_at_);
  exchange_end end = exchange_end::kNotSent;
  const bool connected = co_await Connect();
  if (connected) end = co_await Send();
  if (cut_ != exchange_cut::kNone && end != exchange_end::kComplete &&
      end != exchange_end::kNotSent) {
    end = exchange_end::kCut;
  }
  const bool failed = end == exchange_end::kBroken ||
                      (end == exchange_end::kNotSent && cut_ != exchange_cut::kCallerLeft) ||
                      cut_ == exchange_cut::kFirstLimit;
  load.RequestEnded(begun_, failed, core_.Now());
  if (end == exchange_end::kComplete) Finish();
  connection_.reset();
  co_return end;
}

awaitable<bool> server_exchange::Connect() {
  connection_ = core_.pool.Take(plan_.target.address, started_at_);
  if (connection_) co_return true;
  const auto endpoint = ParseIpEndpoint(plan_.target.address);
  if (!endpoint) {
    failure_ = endpoint.reason();
    co_return false;
  }
  connection_ = std::make_unique<server_connection>(core_.context.get_executor());
  error_code error;
  co_await connection_->socket.async_connect(*endpoint, StoreError(error));
  if (!error && cut_ == exchange_cut::kNone) {
    connection_->socket.set_option(asio::ip::tcp::no_delay(true), error);
    connection_->socket.non_blocking(true, error);
    co_return true;
  }
  Failed("connecting", error);
  core_.pool.Drop(plan_.target.address);
  core_.selection.LoadOf(plan_.target.server).Suspend(core_.Now() + core_.options.suspension);
  co_return false;
}

awaitable<exchange_end> server_exchange::Send() {
  error_code error;
  std::size_t sent = connection_->socket.write_some(asio::buffer(plan_.request), error);
  if (error && error != asio::error::would_block) {
    // The server closed the idle connection before any byte of the request was sent.
    Failed("sending", error);
    co_return exchange_end::kNotSent;
  }
  sent_at_ = core_.Now();
  if (sent < plan_.request.size()) {
    const auto rest = asio::buffer(plan_.request) + sent;
    co_await asio::async_write(connection_->socket, rest, StoreError(error));
    if (error) co_return Failed("sending", error);
  }
  const bool has_head = co_await ReadHead();
  if (!has_head) co_return exchange_end::kBroken;
  const bool has_body = co_await ReadBody();
  co_return has_body ? exchange_end::kComplete : exchange_end::kBroken;
}

awaitable<bool> server_exchange::ReadHead() {
  for (int answers = 0; answers <= kMaxForeignAnswers; ++answers) {
    parser_.emplace();
    parser_->header_limit(kMaxAnswerHead);
    parser_->body_limit(core_.options.max_answer);
    parser_->skip(plan_.head_only);
    error_code error;
    co_await http::async_read_header(connection_->socket, connection_->buffer, *parser_,
                                     StoreError(error));
    if (error) {
      Failed("reading the response head", error);
      co_return false;
    }
    const auto& message = parser_->get();
    answer_.facts = core_.codec.ReadAnswer(message.result_int(), message);
    if (answer_.facts.id.empty() || answer_.facts.id == plan_.id) {
      answer_.status = message.result_int();
      answer_.reason = std::string(message.reason());
      answer_.fields = message;
      const bool own = answer_.facts.authentic && !answer_.facts.encoded;
      pass_events_ = plan_.stream && answer_.status == 200 && own;
      if (!pass_events_) AnswerBegun();
      co_return true;
    }
    core_.metrics.Counter("waxwingwing_foreign_answers_total").Increment();
    const bool skipped = co_await SkipBody();
    if (!skipped) co_return false;
  }
  failure_ = "received only responses to other requests";
  co_return false;
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
  if (error) Failed("skipping the response to another request", error);
  co_return !error;
}

awaitable<bool> server_exchange::ReadBody() {
  std::array<char, kReadSize> bytes;
  while (!parser_->is_done()) {
    parser_->get().body().data = bytes.data();
    parser_->get().body().size = bytes.size();
    parser_->get().body().more = true;
    error_code error;
    co_await http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                                   StoreError(error));
    if (error == http::error::need_buffer) error = {};
    const std::size_t size = bytes.size() - parser_->get().body().size;
    if (size > 0 && !TakeBytes({bytes.data(), size})) co_return false;
    if (error) {
      Failed("reading the response body", error);
      co_return false;
    }
    if (pass_events_) {
      const bool caller_there = co_await receiver_.WaitForCaller();
      if (!caller_there) co_return false;
    }
  }
  if (pass_events_ && !splitter_.AtEventBoundary()) {
    failure_ = "the stream ends within an event";
    co_return false;
  }
  co_return true;
}

bool server_exchange::TakeBytes(std::string_view bytes) {
  if (cut_ != exchange_cut::kNone) return false;
  if (!pass_events_) {
    answer_.body += bytes;
    return true;
  }
  std::string events;
  const auto verdict = splitter_.Feed(bytes, events);
  if (!events.empty()) {
    if (!begun_) AnswerBegun();
    core_.selection.LoadOf(plan_.target.server).EventArrived(core_.Now());
    receiver_.OnEvents(answer_, events);
  }
  if (verdict == event_splitter::verdict::kOk) return true;
  failure_ = verdict == event_splitter::verdict::kTooLarge ? "an event is too large"
                                                           : "an event is missing or malformed";
  return false;
}

void server_exchange::AnswerBegun() {
  begun_ = true;
  const time_point now = core_.Now();
  core_.selection.LoadOf(plan_.target.server).AnswerBegun(now, started_at_, plan_.objective);
}

void server_exchange::Finish() {
  if (!parser_->keep_alive() || connection_->buffer.size() > 0) return;
  core_.pool.Keep(plan_.target.address, std::move(connection_), answer_.facts.idle_limit,
                  core_.Now());
}

void server_exchange::Check(time_point now) {
  if (cut_ != exchange_cut::kNone) return;
  if (now >= plan_.deadline) return Cut(exchange_cut::kDeadline);
  if (!sent_at_) {
    if (now - started_at_ > core_.options.connect_limit) Cut(exchange_cut::kConnectLimit);
    return;
  }
  server_load& load = core_.selection.LoadOf(plan_.target.server);
  if (!begun_ && !congestion_noted_ && now - *sent_at_ > plan_.objective) {
    congestion_noted_ = true;
    load.RecordCongestion(now);
  }
  if (!begun_ && now - *sent_at_ > plan_.first_limit && IsStuck(now, load) && receiver_.CanMove()) {
    return Cut(exchange_cut::kFirstLimit);
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
  const bool none_begins = silence == duration::zero() && !begun_ &&
                           now - *sent_at_ > core_.options.first_event_limit / 2 &&
                           (!load.last_event() || now - *load.last_event() > limit);
  if (!streams_silent && !none_begins) return;
  if (!stall_reported_) {
    stall_reported_ = true;
    core_.ReportStall(plan_.target, streams_silent ? "streams_silent" : "nothing_begins",
                      streams_silent ? silence : now - *sent_at_);
  }
  const bool moves =
      streams_silent && silence > std::max<duration>(core_.options.move_limit, limit);
  if (moves && receiver_.CanMove()) Cut(exchange_cut::kStall);
}

}  // namespace waxwingwing
