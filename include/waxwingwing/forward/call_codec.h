#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/directory/backend_server.h"
#include "waxwingwing/dispatch/server_notices.h"
#include "waxwingwing/work/request_size.h"

namespace waxwingwing {

using http_fields = boost::beast::http::fields;

/// Request metadata that is read from a caller's headers.
struct request_metadata {
  request_id id;
  /// How long the caller waits for the response; absent when the headers state no deadline.
  std::optional<milliseconds> deadline;
  /// API key: the secret that identifies the caller's organisation.
  std::string key;
  std::string model;
  /// What the caller states about the size of the request; malformed values are absent.
  request_size size;
  /// Parts of the prompt that other requests may share; without the request's own part.
  std::vector<prompt_part_id> shared_parts;
  /// Id of the last stream event that the caller has received; the stream resumes after it.
  std::optional<std::uint64_t> last_event;
  /// Description of what is wrong with the headers; empty when they are valid.
  std::string fault;
};

/// Values that are sent to a backend server in addition to the caller's own headers.
struct call_target {
  backend_server_id server;
  /// Time until the request's deadline, as the server is to see it.
  milliseconds time_left{0};
  std::optional<std::uint64_t> last_event;
  organisation_id organisation;
  /// Order in which a server with a queue starts requests; lower values first, 0 before all others.
  std::uint32_t urgency = 0;
};

/// Response metadata that is read from a backend server's headers.
struct response_metadata {
  /// Id of the request that the response belongs to.
  request_id id;
  /// The server states that it has not executed the request and will not.
  bool not_executed = false;
  /// The address belongs to another server, or the server is not the head of a model group.
  bool wrong_server = false;
  /// The response comes from a backend server and not from an intermediary on the path.
  bool authentic = false;
  /// The body has a content encoding, that is, it was changed in transit.
  bool encoded = false;
  /// How long the server keeps the connection open while it is idle.
  std::optional<milliseconds> idle_limit;
  /// The server that the responding server names as the reason why it could not run the request.
  backend_server_id blamed;
  /// What the server states about itself.
  server_notice notice;
};

/// Translates between the HTTP headers that a deployment uses and the types of this library.
///
/// An implementation covers one header convention. The functions are const and report malformed
/// headers in their result.
class call_codec {
 public:
  virtual ~call_codec() = default;

  /// Reads the metadata of a caller's request; errors are reported in `fault`.
  virtual request_metadata ReadRequestMetadata(const http_fields& fields) const = 0;
  /// Rewrites a caller's headers for a backend server. The connection-specific headers must have
  /// been removed before.
  virtual void WriteRequestHeaders(http_fields& fields, const call_target& target) const = 0;
  /// Sets after which event a request goes on, in the headers that callers use; leaves them when
  /// there is none.
  virtual void WriteResumption(http_fields& fields,
                               std::optional<std::uint64_t> last_event) const = 0;
  /// Reads the metadata of a backend server's response.
  virtual response_metadata ReadResponseMetadata(unsigned status,
                                                 const http_fields& fields) const = 0;
  /// Adds the headers of a response that this VM generates itself; `retry_after` is left out when
  /// absent.
  virtual void WriteRefusalHeaders(http_fields& fields, const request_id& id,
                                   std::optional<milliseconds> retry_after) const = 0;
};

}  // namespace waxwingwing
