#include "peer/peer_counters.h"

#include <iterator>

namespace waxwingwing {

std::string_view CloseReasonName(close_reason reason) {
  static constexpr std::string_view kNames[] = {
      "ended",     "connect_failed", "oversized",     "unknown_version",  "unknown_type",
      "malformed", "no_hello_first", "hello_timeout", "other_cluster",    "unexpected_vm",
      "silent",    "replaced",       "too_many",      "unfinished_frame", "stopped",
  };
  static_assert(std::size(kNames) == static_cast<std::size_t>(close_reason::kStopped) + 1);
  return kNames[static_cast<std::size_t>(reason)];
}

close_reason ReasonOf(frame_error error) {
  switch (error) {
    case frame_error::kOversized:
      return close_reason::kOversized;
    case frame_error::kUnknownVersion:
      return close_reason::kUnknownVersion;
    case frame_error::kUnknownType:
      return close_reason::kUnknownType;
    default:
      return close_reason::kMalformed;
  }
}

peer_counters::peer_counters(metrics_registry& metrics)
    : bytes_sent(metrics.Counter("waxwingwing_peer_bytes_sent_total")),
      bytes_received(metrics.Counter("waxwingwing_peer_bytes_received_total")),
      frames_sent(metrics.Counter("waxwingwing_peer_frames_sent_total")),
      frames_received(metrics.Counter("waxwingwing_peer_frames_received_total")),
      established(metrics.Gauge("waxwingwing_peer_connections")),
      metrics_(metrics) {}

void peer_counters::CountClosed(close_reason reason) {
  const std::string name(CloseReasonName(reason));
  metrics_.Counter("waxwingwing_peer_closed_total", {{"reason", name}}).Increment();
}

void peer_counters::CountDropped(bool status) {
  const std::string kind = status ? "node_status" : "other";
  metrics_.Counter("waxwingwing_peer_dropped_total", {{"kind", kind}}).Increment();
}

void peer_counters::CountUnsent(std::string_view reason) {
  metrics_.Counter("waxwingwing_peer_unsent_total", {{"reason", std::string(reason)}}).Increment();
}

}  // namespace waxwingwing
