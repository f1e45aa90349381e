#pragma once

#include <string_view>

#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/peer/frame_codec.h"

namespace waxwingwing {

/// Why a connection to or from a peer ended.
enum class close_reason {
  kEnded,
  kConnectFailed,
  kOversized,
  kUnknownVersion,
  kUnknownType,
  kMalformed,
  kNoHelloFirst,
  kHelloTimeout,
  kOtherCluster,
  kUnexpectedVm,
  kSilent,
  kReplaced,
  /// Had received nothing for the longest time when there were too many connections.
  kTooMany,
  /// Held the most, or for the longest time, when too much of frames had not arrived whole.
  kUnfinishedFrame,
  kStopped,
};

std::string_view CloseReasonName(close_reason reason);
/// Maps a frame error to the reason for closing the connection.
close_reason ReasonOf(frame_error error);

/// Metrics of all peer connections of the process.
class peer_counters {
 public:
  explicit peer_counters(metrics_registry& metrics);

  void CountClosed(close_reason reason);
  void CountDropped(bool status);
  /// Counts a message that was not sent, by reason.
  void CountUnsent(std::string_view reason);

  counter& bytes_sent;
  counter& bytes_received;
  counter& frames_sent;
  counter& frames_received;
  /// Number of connections on which a valid hello was received.
  gauge& established;

 private:
  metrics_registry& metrics_;
};

}  // namespace waxwingwing
