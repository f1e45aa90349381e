#pragma once

#include <string>

#include "gateway/refusal.h"
#include "waxwingwing/platform/coroutine.h"
#include "waxwingwing/streaming/engine_stream.h"

namespace waxwingwing {

/// Result of `answer_sink::Push`.
enum class push_result {
  kTaken,
  /// The caller read nothing during the stall time-out; the token was not accepted.
  kStalled,
  kCallerGone,
  /// The answer exceeds `max_collected_answer`.
  kTooLarge,
  /// The buffer limit of the organisation or of the process is reached.
  kBufferFull,
};

/// Receives the tokens of an answer in order, over all attempts that produce them.
class answer_sink {
 public:
  answer_sink() = default;
  answer_sink(const answer_sink&) = delete;
  answer_sink& operator=(const answer_sink&) = delete;
  virtual ~answer_sink() = default;

  /// Accepts one token; `data` is the data of its event. Waits while the buffer is full.
  virtual awaitable<push_result> Push(const std::string& data,
                                      const engine_stream::event_result& token) = 0;
  /// After `kStalled`: waits until the caller has read the buffered tokens. Returns false when the
  /// caller has disconnected.
  virtual awaitable<bool> WaitUntilRead() = 0;
  /// Ends the answer; returns when all of it is written or the caller has disconnected.
  virtual awaitable<void> Complete() = 0;
  /// Ends the answer with an error.
  virtual awaitable<void> Fail(const refusal& reason) = 0;
};

}  // namespace waxwingwing
