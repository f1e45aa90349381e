#include "forward/call_session.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "forward/carriage.h"
#include "forward/http_text.h"
#include "forward/request_reader.h"

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

/// Buffer size, in bytes, of the read that waits for a request.
constexpr std::size_t kFirstReadSize = 4096;
/// Idle time after which a connection closes before those with unfinished requests. The first bytes
/// of a new connection have often arrived and only not been processed, so closing it has no effect.
constexpr milliseconds kMinIdleTime{500};
/// Size, in bytes, of the buffer for what arrives after a refusal.
constexpr std::size_t kDiscardSize = 4096;
/// Bytes that are discarded at most, so that a caller that sends without end uses little of the
/// processor; twice the default limit for a body.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{8} << 20U;
/// Time-out for receiving a whole request body.
constexpr milliseconds kBodyTimeout{10000};
/// How long what arrives after a refusal is discarded; the caller has read the refusal by then.
constexpr milliseconds kDiscardTimeout{500};
/// Least idle time-out of a connection of another VM, and bytes of the headers that VMs add.
constexpr milliseconds kVmIdleTimeout{15000};
constexpr std::uint64_t kMaxVmHeaderBytes = 1024;
/// Retry delay for callers whose request was ended for lack of memory or connections; the bodies
/// that use up the memory end by then.
constexpr milliseconds kOverloadRetryDelay{1000};

unsigned StatusOf(const error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  // The read was cancelled when its time limit had passed.
  if (error == asio::error::operation_aborted) return 408;
  return 400;
}

bool IsMalformed(const error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

call_session::call_session(forward_core& core, asio::ip::tcp::socket socket, session_origin origin)
    : core_(core),
      origin_(origin),
      channel_(std::make_shared<caller_channel>(std::move(socket))),
      account_(core.ingress, [this](std::size_t bytes) { EndForMemory(bytes); }) {
  channel_->SetUnsentHook([this] { HoldUnsent(core_.Now()); });
}

call_session::~call_session() { channel_->SetUnsentHook(nullptr); }

caller_limits call_session::Limits() const {
  caller_limits limits = core_.configuration ? core_.configuration->limits : caller_limits{};
  if (origin_ == session_origin::kVm) {
    // VMs keep connections for each other however long callers may, and add headers.
    limits.idle_timeout = std::max(limits.idle_timeout, kVmIdleTimeout);
    limits.max_header = byte_count(limits.max_header.get() + kMaxVmHeaderBytes);
  }
  return limits;
}

awaitable<void> call_session::Run() {
  bool open = true;
  while (open) {
    const bool arrived = co_await WaitForRequest();
    if (!arrived) break;
    auto request = co_await ReadRequest();
    if (!request) break;
    open = co_await Serve(std::move(*request));
  }
  if (phase_ == session_phase::kRefused) co_await DiscardRest();
  channel_->Close();
}

awaitable<bool> call_session::Serve(caller_request request) {
  phase_ = session_phase::kCall;
  evicted_ = false;
  was_unsent_ = false;
  expires_at_.reset();
  waits_since_.reset();
  account_.EndWait();
  request_bytes_ = account_.held();
  bool keeps = false;
  {
    forward_call call(core_, *channel_, std::move(request));
    co_await call.Run();
    keeps = call.keeps_connection();
  }
  const bool taken = co_await WaitUntilTaken();
  if (!taken) co_return false;
  co_return keeps;
}

awaitable<bool> call_session::WaitUntilTaken() {
  phase_ = session_phase::kAnswer;
  if (channel_->buffer().size() == 0) channel_->buffer().shrink_to_fit();
  request_bytes_ = channel_->buffer().capacity();
  // Nothing is added to the answer any more: only its caller keeps it from being freed.
  if (channel_->unsent() > 0) account_.BeginWait(core_.Now());
  HoldUnsent(core_.Now());
  expires_at_ = core_.Now() + Limits().idle_timeout;
  const bool taken = co_await channel_->WaitUntilSent(0);
  waits_since_.reset();
  account_.EndWait();
  account_.Hold(request_bytes_, core_.Now());
  co_return taken && !account_.ended();
}

awaitable<void> call_session::DiscardRest() {
  channel_->buffer().clear();
  channel_->buffer().shrink_to_fit();
  std::array<char, kDiscardSize> discarded{};
  account_.EndWait();
  account_.Hold(discarded.size(), core_.Now());
  const bool sent = co_await channel_->WaitUntilSent(0);
  // Reading on would keep the descriptor that the new caller needs.
  if (!sent || evicted_) co_return;
  error_code error;
  channel_->socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  std::size_t total = 0;
  while (!error && !evicted_ && total < kMaxDiscardedBytes && core_.Now() < *expires_at_) {
    total +=
        co_await channel_->socket().async_read_some(asio::buffer(discarded), StoreError(error));
  }
}

awaitable<bool> call_session::WaitForRequest() {
  if (channel_->buffer().size() > 0) co_return true;
  phase_ = session_phase::kIdle;
  waits_since_ = core_.Now();
  expires_at_ = core_.Now() + Limits().idle_timeout;
  error_code error;
  do {
    const auto space = channel_->buffer().prepare(kFirstReadSize);
    const std::size_t size = co_await channel_->socket().async_read_some(space, StoreError(error));
    channel_->buffer().commit(size);
    // A wait that was cancelled must not discard a request that has arrived meanwhile.
  } while (error == asio::error::operation_aborted && HasUnreadBytes());
  co_return !error;
}

bool call_session::HasUnreadBytes() const {
  error_code error;
  return channel_->socket().available(error) > 0;
}

awaitable<std::optional<caller_request>> call_session::ReadRequest() {
  const caller_limits limits = Limits();
  phase_ = session_phase::kRequest;
  evicted_ = false;
  expires_at_ = core_.Now() + limits.header_timeout;
  waits_since_ = core_.Now();
  account_.BeginWait(core_.Now());
  request_reader reader(*channel_, account_, core_.clock, limits);
  error_code error = co_await reader.ReadHead();
  const auto& head = reader.parser().get();
  if (!error && !reader.parser().is_done()) {
    expires_at_ = core_.Now() + kBodyTimeout;
    if (head[http::field::expect] == "100-continue") {
      channel_->Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    error = co_await reader.ReadBody();
  }
  if (account_.ended()) {
    RefuseUnread(head, "memory");
    co_return std::nullopt;
  }
  if (evicted_ && error == asio::error::operation_aborted) {
    RefuseUnread(head, "connections");
    co_return std::nullopt;
  }
  if (error) {
    if (IsMalformed(error) || error == asio::error::operation_aborted) RefuseMalformed(error);
    co_return std::nullopt;
  }
  auto message = reader.parser().release();
  caller_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  request.fields = std::move(static_cast<http_fields&>(message));
  if (origin_ == session_origin::kVm) request.carried = TakeCarriage(request.fields);
  co_return request;
}

void call_session::EndForMemory(std::size_t bytes) {
  core_.metrics
      .Counter("waxwingwing_callers_ended_total", {{"phase", serves_call() ? "answer" : "request"}})
      .Increment();
  core_.log.Write("caller_ended_for_memory", {{"phase", serves_call() ? "answer" : "request"},
                                              {"bytes", bytes},
                                              {"held", core_.ingress->held()},
                                              {"limit", core_.ingress->limit()}});
  if (serves_call()) return channel_->Abort();
  CancelRead();
}

void call_session::RefuseUnread(const http_fields& head, std::string_view reason) {
  core_.metrics.Counter("waxwingwing_refusals_total", {{"reason", std::string(reason)}})
      .Increment();
  http_fields fields;
  const request_id id = core_.codec.ReadRequestMetadata(head).id;
  core_.codec.WriteRefusalHeaders(fields, id, kOverloadRetryDelay);
  if (origin_ == session_origin::kVm) WriteRefusal(fields, reason);
  channel_->Send(WriteResponseHead(503, "Service Unavailable", fields, 0, false));
  BeginRefusal();
}

void call_session::BeginRefusal() {
  phase_ = session_phase::kRefused;
  waits_since_ = core_.Now();
  expires_at_ = core_.Now() + kDiscardTimeout;
}

void call_session::CheckUnsent(time_point now) {
  if (!serves_call()) return;
  const std::size_t unsent = channel_->unsent();
  const std::uint64_t sent = channel_->sent_from_queue();
  const bool stalled = unsent > 0 && was_unsent_ && sent == sent_at_sweep_;
  was_unsent_ = unsent > 0;
  sent_at_sweep_ = sent;
  if (!stalled) {
    waits_since_.reset();
    if (phase_ == session_phase::kCall) account_.EndWait();
  } else if (!waits_since_) {
    waits_since_ = now;
    account_.BeginWait(now);
  }
  HoldUnsent(now);
}

void call_session::HoldUnsent(time_point now) {
  if (serves_call()) account_.Hold(request_bytes_ + channel_->unsent(), now);
}

void call_session::RefuseMalformed(const error_code& error) {
  const unsigned status = StatusOf(error);
  core_.metrics.Counter("waxwingwing_refusals_total", {{"reason", "malformed_request"}})
      .Increment();
  core_.log.Write("request_malformed", {{"status", status}, {"reason", error.message()}});
  const auto name = http::obsolete_reason(static_cast<http::status>(status));
  http_fields fields;
  if (origin_ == session_origin::kVm) WriteRefusal(fields, "malformed_request");
  channel_->Send(WriteResponseHead(status, {name.data(), name.size()}, fields, 0, false));
  BeginRefusal();
}

void call_session::CloseIfExpired(time_point now) {
  if (!expires_at_ || now < *expires_at_) return;
  if (phase_ == session_phase::kAnswer) return AbortUntaken("untaken");
  CancelRead();
}

void call_session::CloseIfIdle() {
  if (phase_ == session_phase::kIdle) CancelRead();
}

std::optional<std::pair<session_phase, time_point>> call_session::ClosingOrder() const {
  if (evicted_ || !waits_since_ || phase_ == session_phase::kCall) return std::nullopt;
  const bool is_new = phase_ == session_phase::kIdle && core_.Now() - *waits_since_ < kMinIdleTime;
  return std::pair(is_new ? session_phase::kRequest : phase_, *waits_since_);
}

void call_session::CloseForNewCaller() {
  evicted_ = true;
  if (phase_ == session_phase::kAnswer) return AbortUntaken("connections");
  core_.metrics.Counter("waxwingwing_callers_ended_total", {{"phase", "connections"}}).Increment();
  // A read that has just taken bytes cannot be cancelled; the next sweep cancels the one after it.
  expires_at_ = core_.Now();
  CancelRead();
}

void call_session::AbortUntaken(std::string_view phase) {
  core_.metrics.Counter("waxwingwing_callers_ended_total", {{"phase", std::string(phase)}})
      .Increment();
  expires_at_.reset();
  channel_->Abort();
}

void call_session::CancelRead() {
  // Closing the socket here would lose a request that was read but has not been processed yet;
  // cancelling has no effect on a read that has taken bytes.
  error_code ignored;
  channel_->socket().cancel(ignored);
}

}  // namespace waxwingwing
