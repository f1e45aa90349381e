#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Why an attempt to run a request on a backend server ended without a complete response.
enum class attempt_failure {
  /// The connection could not be established; no byte was sent.
  kConnectFailed,
  /// Writing the request failed; the server may have received part of it.
  kSendFailed,
  /// The connection was reset or closed before the response began.
  kNoAnswer,
  /// The first byte did not arrive before its time-out, but the server answers on a new connection.
  kFirstByteTimeout,
  /// The stream stalled, but the server answers on a new connection.
  kConnectionStalled,
  /// The stream stalled and the server does not answer on a new connection either.
  kServerUnresponsive,
  /// The stream was closed or reset before `[DONE]` arrived.
  kStreamInterrupted,
  /// The response belongs to another request or lacks tokens.
  kWrongAnswer,
  /// The server does not serve this replica or this generation of it.
  kNotAssigned,
  /// The server is at capacity or reports an internal error.
  kServerRefused,
  /// The server rejects the request as invalid; every other server would reject it too.
  kRequestRejected,
};

/// Label value of the failure in counters, such as `connect_failed`.
std::string_view ToText(attempt_failure failure);

/// Whether the failure suggests that the backend server is unresponsive, so that the next request
/// to it is likely to fail in the same way.
bool IndicatesUnresponsiveServer(attempt_failure failure);

/// Whether a request that is answered with an error can have run on a backend server.
enum class execution_status { kNotRun, kUnknown };

/// `not_run` or `unknown`.
std::string_view ToText(execution_status execution);

/// What the entry VM does after a failed attempt.
enum class next_step {
  /// Send the request again to the same backend server over a new connection, with a resume offset.
  kResumeSameServer,
  /// Send the request to another backend server, with a resume offset if tokens were delivered.
  kRetryOtherServer,
  /// Answer the caller with an error.
  kAnswerError,
};

/// The failed attempt and the state of its request, from which `DecideNextStep` decides.
struct failed_attempt {
  attempt_failure failure = attempt_failure::kConnectFailed;
  /// Tokens that were already delivered to the caller.
  token_count delivered;
  /// Whether the call may be executed more than once.
  bool repeatable = true;
  /// Whether any attempt of this request, including the failed one, may have sent at least a byte.
  bool byte_may_be_sent = false;
  /// Retries of this request that were already made.
  std::uint32_t retries = 0;
  std::uint32_t max_retries = 3;
};

struct attempt_decision {
  next_step step = next_step::kAnswerError;
  /// Error code of the answer to the caller; empty unless `step` is `kAnswerError`.
  std::string_view code;
  execution_status execution = execution_status::kUnknown;
};

/// Decides whether a failed attempt is resumed, retried or answered with an error. `take_budget`
/// takes one retry from the retry budget; it is called only when a retry on another server is
/// otherwise possible.
attempt_decision DecideNextStep(const failed_attempt& attempt,
                                const std::function<bool()>& take_budget);

}  // namespace waxwingwing
