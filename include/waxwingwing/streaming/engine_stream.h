#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/streaming/event_parser.h"

namespace waxwingwing {

/// Why an event, or a whole response, was not accepted as part of the attempt's answer.
enum class drop_reason {
  kNone,
  kRequestMismatch,
  kAttemptMismatch,
  kRepeatedIndex,
  kGap,
  kMalformed,
  kAfterEnd,
  kEngineError,
  kEventTooLarge,
};

/// Label value of the reason in counters, such as `foreign_attempt`.
std::string_view ToText(drop_reason reason);

/// Validates the events of one engine response against the attempt that requested it.
///
/// A stream is complete only after `[DONE]`. A missing token, the id of another request or attempt,
/// or a malformed event makes the attempt unusable, since tokens of the answer may have been sent
/// to another attempt; the owner of the stream then resumes from `next_index()` with a new attempt.
class engine_stream {
 public:
  enum class verdict { kToken, kDropped, kUnusable, kComplete };

  struct event_result {
    verdict outcome = verdict::kDropped;
    /// Set when the event was dropped or made the attempt unusable.
    drop_reason reason = drop_reason::kNone;
    /// Text of the token; set for `kToken`.
    std::string content;
    /// Why the engine ended the answer; empty for all tokens but the last.
    std::string finish_reason;
  };

  /// `first_index` is the number of tokens that were already delivered to the caller.
  engine_stream(request_id request, attempt_id attempt, token_count first_index)
      : request_(std::move(request)), attempt_(std::move(attempt)), next_index_(first_index) {}

  /// Checks the ids in the response headers; any result but `kNone` makes the attempt unusable.
  drop_reason CheckHeaders(std::string_view request, std::string_view attempt);

  /// Validates the next event of the response and advances `next_index()` when it is a token.
  event_result Accept(const server_event& event);

  bool complete() const { return complete_; }
  bool usable() const { return usable_; }
  /// Index of the next expected token, which is the offset to resume from.
  token_count next_index() const { return next_index_; }

 private:
  event_result Unusable(drop_reason reason);
  static event_result Dropped(drop_reason reason);

  request_id request_;
  attempt_id attempt_;
  token_count next_index_;
  bool complete_ = false;
  bool usable_ = true;
};

}  // namespace waxwingwing
