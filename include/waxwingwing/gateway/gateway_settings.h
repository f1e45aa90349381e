#pragma once

#include <cstdint>
#include <string>

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Limits and time-outs of the caller HTTP server and of the relay to backend servers.
struct gateway_settings {
  /// `ip:port`; port 0 is chosen by the system.
  std::string address = "127.0.0.1:0";
  std::uint32_t worker_threads = 2;
  std::uint32_t max_connections = 8192;

  byte_count max_header{std::uint64_t{16} << 10U};
  byte_count max_body{std::uint64_t{1} << 20U};
  /// How long a connection may stay without a request.
  milliseconds idle_timeout{60000};
  /// From the first byte of a request to the end of its headers.
  milliseconds header_timeout{10000};
  /// From the end of the headers to the end of the body.
  milliseconds body_timeout{30000};
  /// Longest time for the caller to take one block of the answer.
  milliseconds caller_write_timeout{600000};

  milliseconds default_deadline{30000};
  milliseconds max_deadline{600000};

  milliseconds connect_timeout{1000};
  milliseconds first_byte_timeout{10000};
  milliseconds gap_timeout{3000};
  milliseconds probe_timeout{500};
  /// Longest wait for a place when an answer that has begun is resumed.
  milliseconds resume_deadline{30000};
  std::uint32_t max_retries = 3;

  /// Most bytes buffered for one stream.
  byte_count stream_buffer{std::uint64_t{16} << 10U};
  /// Most bytes buffered for all streams of the process.
  byte_count process_buffer{std::uint64_t{64} << 20U};
  /// Kernel buffers of the connections to callers (send) and to backend servers (receive).
  byte_count socket_buffer{std::uint64_t{16} << 10U};
  /// How long a full buffer may make no progress before the backend server is released.
  milliseconds stall_timeout{2000};
  /// Largest answer that is collected as a whole: of a plain service or for a caller that does not
  /// stream.
  byte_count max_collected_answer{std::uint64_t{1} << 20U};
  /// Largest answer that is recorded for an idempotency key.
  byte_count max_recorded_outcome{std::uint64_t{16} << 10U};

  /// How often waiting requests are tried again, since limits may have risen.
  milliseconds dispatch_interval{20};
  /// Bytes of the prompt that decide which replica has it in its prompt cache.
  byte_count affinity_prefix{1024};
};

}  // namespace waxwingwing
