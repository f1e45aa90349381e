#pragma once

#include <memory>
#include <string>

#include "gateway/answer_sink.h"
#include "gateway/async_event.h"
#include "gateway/request_context.h"
#include "waxwingwing/streaming/relay_buffer.h"

namespace waxwingwing {

/// Streams an answer to the caller as server-sent events.
///
/// A second coroutine writes the buffer, so that reading from the engine and writing to the caller
/// overlap and a slow caller is detected. The response header is sent with the first token; an
/// error before the first token is answered with an HTTP error status.
class caller_stream final : public answer_sink {
 public:
  explicit caller_stream(request_context& context);

  awaitable<push_result> Push(const std::string& data,
                              const engine_stream::event_result& token) override;
  awaitable<bool> WaitUntilRead() override;
  awaitable<void> Complete() override;
  awaitable<void> Fail(const refusal& reason) override;

 private:
  /// Shared with the writing coroutine, which may outlive this object at process shutdown.
  struct shared_state {
    shared_state(request_context& context, std::shared_ptr<buffer_account> account);

    std::shared_ptr<caller_connection> caller;
    milliseconds write_timeout;
    http::response<http::empty_body> header;
    relay_buffer buffer;
    /// Last event, written after the buffer and not counted in its limit, since it ends the stream.
    std::string final_event;
    async_event filled;
    async_event progress;
    std::uint64_t blocks_written = 0;
    bool started = false;
    bool closing = false;
    bool finished = false;
  };

  void Start();
  awaitable<void> Finish(std::string final_event);
  static awaitable<void> WriteAll(std::shared_ptr<shared_state> state);
  static awaitable<error_code> WriteBlock(shared_state& state, const std::string& block);
  static awaitable<error_code> WriteBlocks(shared_state& state);

  request_context& context_;
  std::shared_ptr<shared_state> state_;
};

}  // namespace waxwingwing
