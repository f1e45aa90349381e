#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// How an attempt at a backend server ended without a complete answer.
enum class attempt_failure {
  /// The connection could not be made; no byte was sent.
  kConnectFailed,
  /// Writing the request failed; some of it may have arrived.
  kSendFailed,
  /// The connection was reset or closed before the response began.
  kNoAnswer,
  /// No first byte in time, while the server answers on a new connection.
  kFirstByteTimeout,
  /// The stream went silent, while the server answers on a new connection.
  kPathDead,
  /// The stream went silent and the server does not answer on a new connection either.
  kServerDead,
  /// The stream ended or was reset before `[DONE]`.
  kStreamCut,
  /// The response belongs to another request or has a gap.
  kWrongAnswer,
  /// The server does not hold this replica or generation.
  kNotAssigned,
  /// The server has no room or reports an internal error.
  kServerRefused,
  /// The server rejects the request itself; every other server would do so too.
  kRequestRejected,
};

/// Label value of the failure in counters, such as `connect_failed`.
std::string_view ToText(attempt_failure failure);

/// Whether the backend server did not begin an answer, and the next request may fare alike.
bool GaveNoAnswer(attempt_failure failure);

/// Whether a rejected request can have reached a backend server.
enum class attempt_truth { kNotRun, kUnknown };

/// `not_run` or `unknown`.
std::string_view ToText(attempt_truth truth);

enum class next_step {
  /// Send again with a resume offset to the same backend server over a new connection.
  kResumeSame,
  /// Send again, with a resume offset when tokens were delivered, to another backend server.
  kRetryElsewhere,
  kGiveUp,
};

/// What the decision after a failed attempt is based on.
struct attempt_situation {
  attempt_failure failure = attempt_failure::kConnectFailed;
  /// Tokens that the caller already has.
  token_count delivered;
  /// Whether the call may be executed more than once.
  bool repeatable = true;
  /// Whether any attempt of this request, including the failed one, may have sent a byte.
  bool byte_may_be_sent = false;
  /// Retries of this request so far.
  std::uint32_t retries = 0;
  std::uint32_t max_retries = 3;
};

struct attempt_decision {
  next_step step = next_step::kGiveUp;
  /// Code of the error to answer; empty unless giving up.
  std::string_view code;
  attempt_truth truth = attempt_truth::kUnknown;
};

/// Decides what follows a failed attempt. `take_budget` takes one retry from the retry budget and
/// is called only when a retry at another server is otherwise possible.
attempt_decision DecideNextStep(const attempt_situation& situation,
                                const std::function<bool()>& take_budget);

}  // namespace waxwingwing
