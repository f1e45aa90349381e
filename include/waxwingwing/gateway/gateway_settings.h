#pragma once

#include <cstdint>
#include <string>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Limits and time-outs of the caller HTTP server and of the relay to backend servers.
struct gateway_settings {
  /// `ip:port` to listen on; with port 0 the system selects the port.
  std::string address = "127.0.0.1:0";
  std::uint32_t worker_threads = 2;
  std::uint32_t max_connections = 8192;

  byte_count max_header{std::uint64_t{16} << 10U};
  byte_count max_body{std::uint64_t{1} << 20U};
  /// Longest time that a connection may stay open without a request.
  milliseconds idle_timeout{60000};
  /// From the first byte of a request to the end of its headers.
  milliseconds header_timeout{10000};
  /// From the end of the headers to the end of the body.
  milliseconds body_timeout{30000};
  /// Longest time for writing one block of the answer to the caller.
  milliseconds caller_write_timeout{600000};

  milliseconds default_deadline{30000};
  milliseconds max_deadline{600000};

  milliseconds connect_timeout{1000};
  milliseconds first_byte_timeout{10000};
  milliseconds gap_timeout{3000};
  milliseconds probe_timeout{500};
  /// Longest wait for a backend server when an answer that has begun is resumed.
  milliseconds resume_deadline{30000};
  std::uint32_t max_retries = 3;

  /// Limit of bytes buffered for one stream.
  byte_count stream_buffer{std::uint64_t{16} << 10U};
  /// Limit of bytes buffered for all streams of the process.
  byte_count process_buffer{std::uint64_t{64} << 20U};
  /// Kernel buffer size of connections to callers (send) and to backend servers (receive).
  byte_count socket_buffer{std::uint64_t{16} << 10U};
  /// Longest time that a full buffer may make no progress; after it the backend server is released.
  milliseconds stall_timeout{2000};
  /// Largest answer that is buffered completely: of a plain service, or for a caller that does not
  /// stream.
  byte_count max_collected_answer{std::uint64_t{1} << 20U};
  /// Largest answer that is recorded for an idempotency key.
  byte_count max_recorded_outcome{std::uint64_t{16} << 10U};

  /// Interval at which waiting requests are placed again, since limits may have risen.
  milliseconds dispatch_interval{20};
  /// Length of the prompt prefix whose hash selects the replica that has it in its prompt cache.
  byte_count affinity_prefix{1024};
};

}  // namespace waxwingwing
