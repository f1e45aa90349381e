#include "gateway/caller_stream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace waxwingwing {
namespace {

// Buffer accounts do not notify waiters when bytes are released, so they are polled.
constexpr milliseconds kAccountPollInterval{20};
// Free buffer space needed to resume; with less, the answer would stall again after a few tokens.
constexpr byte_count kFreeBytesToResume{1024};

time_point Now() { return std::chrono::steady_clock::now(); }

std::string ToFrame(const std::string& data) {
  std::string frame = "data: ";
  for (const char c : data) {
    frame += c;
    if (c == '\n') frame += "data: ";
  }
  frame += "\n\n";
  return frame;
}

}  // namespace

caller_stream::shared_state::shared_state(request_context& context,
                                          std::shared_ptr<buffer_account> account)
    : caller(context.caller),
      write_timeout(context.core.settings.caller_write_timeout),
      buffer(context.core.settings.stream_buffer, std::move(account)),
      filled(context.executor()),
      progress(context.executor()) {
  header.version(11);
  header.result(http::status::ok);
  header.set(http::field::content_type, "text/event-stream");
  header.set(http::field::cache_control, "no-cache");
  header.set("X-Request-Id", context.id.str());
  header.chunked(true);
}

caller_stream::caller_stream(request_context& context)
    : context_(context),
      state_(std::make_shared<shared_state>(context,
                                            context.core.accounts.Find(*context.organisation))) {}

void caller_stream::Start() {
  if (state_->started) return;
  state_->started = true;
  context_.answer_sent = true;
  if (context_.core.shutting_down) context_.keep_alive = false;
  state_->header.keep_alive(context_.keep_alive);
  const auto executor = context_.executor();
  asio::co_spawn(executor, WriteAll(state_), asio::detached);
}

awaitable<push_result> caller_stream::Push(const std::string& data,
                                           const engine_stream::event_result&) {
  const std::string frame = ToFrame(data);
  shared_state& state = *state_;
  const milliseconds stall = context_.core.settings.stall_timeout;
  time_point stalled_at = Now() + stall;
  std::uint64_t seen = state.blocks_written;
  while (!state.caller->gone()) {
    if (state.buffer.TryAppend(frame)) {
      Start();
      state.filled.Notify();
      co_return push_result::kTaken;
    }
    if (seen != state.blocks_written) stalled_at = Now() + stall;
    seen = state.blocks_written;
    if (Now() >= stalled_at) co_return push_result::kStalled;
    const time_point next = std::min(stalled_at, Now() + kAccountPollInterval);
    co_await state.progress.WaitUntil(next);
  }
  co_return push_result::kCallerGone;
}

awaitable<bool> caller_stream::WaitUntilRead() {
  shared_state& state = *state_;
  while (!state.caller->gone()) {
    if (state.buffer.empty() && state.buffer.CanAppend(kFreeBytesToResume)) break;
    co_await state.progress.WaitUntil(Now() + kAccountPollInterval);
  }
  co_return !state.caller->gone();
}

awaitable<void> caller_stream::Complete() {
  Start();
  co_await Finish("data: [DONE]\n\n");
}

awaitable<void> caller_stream::Fail(const refusal& reason) {
  if (!state_->started) {
    context_.Refuse(reason);
    co_return;
  }
  const refusal adjusted = context_.AdjustAndCount(reason);
  context_.keep_alive = false;
  co_await Finish("event: error\ndata: " + ToJson(adjusted) + "\n\n");
}

awaitable<void> caller_stream::Finish(std::string final_event) {
  shared_state& state = *state_;
  state.final_event = std::move(final_event);
  state.closing = true;
  state.filled.Notify();
  while (!state.finished) co_await state.progress.WaitUntil(Now() + state.write_timeout);
}

awaitable<void> caller_stream::WriteAll(std::shared_ptr<shared_state> state) {
  const error_code error = co_await WriteBlocks(*state);
  if (error) state->caller->SetGone();
  state->finished = true;
  state->progress.Notify();
}

awaitable<error_code> caller_stream::WriteBlocks(shared_state& state) {
  beast::tcp_stream& stream = state.caller->stream();
  error_code error;
  stream.expires_after(state.write_timeout);
  http::response_serializer<http::empty_body> serializer(state.header);
  co_await http::async_write_header(stream, serializer, StoreError(error));
  while (!error && !state.caller->gone()) {
    const std::string& block = state.buffer.BeginWrite();
    if (!block.empty()) {
      error = co_await WriteBlock(state, block);
      state.buffer.EndWrite();
      ++state.blocks_written;
      state.progress.Notify();
      continue;
    }
    if (state.closing) break;
    co_await state.filled.WaitUntil(Now() + state.write_timeout);
  }
  if (error || state.caller->gone()) co_return error;
  error = co_await WriteBlock(state, state.final_event);
  if (error) co_return error;
  co_await asio::async_write(stream, http::make_chunk_last(), StoreError(error));
  co_return error;
}

awaitable<error_code> caller_stream::WriteBlock(shared_state& state, const std::string& block) {
  error_code error;
  state.caller->stream().expires_after(state.write_timeout);
  const auto chunk = http::make_chunk(asio::buffer(block));
  co_await asio::async_write(state.caller->stream(), chunk, StoreError(error));
  co_return error;
}

}  // namespace waxwingwing
