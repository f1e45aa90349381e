#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/forward/call_codec.h"

namespace waxwingwing {

// A VM that has lost its paths to the backend servers sends requests on to other VMs, its carriers,
// as they came from the callers, with some headers that only VMs use between each other.

/// What a VM tells a carrier about a request.
struct carriage {
  /// Version of the configuration by which the request was let in.
  std::uint64_t configuration = 0;
  /// Number of servers that may have run the request already.
  std::size_t possible_runs = 0;
  /// Time since the caller's request arrived.
  milliseconds age{0};
};

/// A carrier's own answer, in place of a server's.
struct carrier_refusal {
  std::string reason;
  /// Whether the reason lies in the carrier, so that another VM may take the request.
  bool is_of_carrier = false;
};

/// What a carrier tells about its answer.
struct carried_answer {
  /// Absent when the answer is a server's.
  std::optional<carrier_refusal> refusal;
  /// The server that answered, and when its incarnation started.
  backend_server_id server;
  std::uint64_t born = 0;
};

/// Adds what is told about a request to its headers.
void WriteCarriage(http_fields& fields, const carriage& told);
/// Takes it from the headers. What is missing or malformed keeps its default.
carriage TakeCarriage(http_fields& fields);

/// Marks an answer as the carrier's own.
void WriteRefusal(http_fields& fields, std::string_view reason);
/// Names the server that answered.
void WriteServer(http_fields& fields, const backend_server_id& server, std::uint64_t born);
/// Takes what is told about an answer from its headers.
carried_answer TakeCarriedAnswer(http_fields& fields);

}  // namespace waxwingwing
