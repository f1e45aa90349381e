#pragma once

#include <string>

#include "gateway/refusal.h"
#include "waxwingwing/platform/coroutine.h"
#include "waxwingwing/streaming/engine_stream.h"

namespace waxwingwing {

enum class push_result {
  kTaken,
  /// The caller did not read for the stall time-out; the token was not taken.
  kStalled,
  kCallerGone,
  /// The answer exceeds what may be collected.
  kTooLarge,
  /// The organisation or the process has no room to collect it.
  kNoRoom,
};

/// Takes the tokens of an answer in order, whichever attempt they come from.
class answer_sink {
 public:
  answer_sink() = default;
  answer_sink(const answer_sink&) = delete;
  answer_sink& operator=(const answer_sink&) = delete;
  virtual ~answer_sink() = default;

  /// Takes one token; `data` is the data of its event. Waits while there is no room.
  virtual awaitable<push_result> Push(const std::string& data,
                                      const engine_stream::event_result& token) = 0;
  /// After `kStalled`: waits until the caller has read what is buffered. False when it is gone.
  virtual awaitable<bool> WaitUntilRead() = 0;
  /// Ends the answer; returns when the caller has all of it or is gone.
  virtual awaitable<void> Complete() = 0;
  /// Ends the answer with an error.
  virtual awaitable<void> Fail(const refusal& reason) = 0;
};

}  // namespace waxwingwing
