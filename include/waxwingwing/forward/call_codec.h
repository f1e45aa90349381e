#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

using http_fields = boost::beast::http::fields;

/// What a caller's headers say about a request.
struct call_facts {
  request_id id;
  /// How long the caller waits for the answer.
  std::optional<milliseconds> deadline;
  /// Secret that identifies the caller's organisation.
  std::string key;
  std::string model;
  /// The last event of the stream that the caller has.
  std::optional<std::uint64_t> last_event;
  /// What is wrong with the headers; empty when nothing is.
  std::string fault;
};

/// What a backend server is told beside the caller's own headers.
struct call_target {
  backend_server_id server;
  milliseconds time_left{0};
  std::optional<std::uint64_t> last_event;
  organisation_id organisation;
  /// Order in which a server with a queue starts requests; 0 first.
  std::uint32_t urgency = 0;
};

/// What the headers of an answer say.
struct answer_facts {
  /// The request that is answered.
  request_id id;
  /// The server states that it has not run the request and will not.
  bool not_executed = false;
  /// The address belongs to another server, or the server does not head a group.
  bool wrong_server = false;
  /// The answer comes from a backend server, not from something between.
  bool authentic = false;
  /// The body was changed on the way.
  bool encoded = false;
  /// For how long the server keeps the idle connection.
  std::optional<milliseconds> idle_limit;
  /// The server because of which the request could not be run.
  backend_server_id blamed;
};

/// Translates between the headers of the deployment and the product's types.
class call_codec {
 public:
  virtual ~call_codec() = default;

  virtual call_facts ReadCall(const http_fields& fields) const = 0;
  /// Changes a caller's headers to those for a backend server. Headers of the connection are
  /// already removed.
  virtual void WriteCall(http_fields& fields, const call_target& target) const = 0;
  virtual answer_facts ReadAnswer(unsigned status, const http_fields& fields) const = 0;
  /// Adds the headers of an answer of this VM's own.
  virtual void WriteRefusal(http_fields& fields, const request_id& id,
                            std::optional<milliseconds> retry_after) const = 0;
};

}  // namespace waxwingwing
