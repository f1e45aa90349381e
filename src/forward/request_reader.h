#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <string>

#include "forward/caller_channel.h"
#include "forward/growing_body.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ingress_budget.h"
#include "waxwingwing/directory/traffic_configuration.h"

namespace waxwingwing {

/// Reads one request from a caller's connection and accounts for its bytes as they arrive.
class request_reader {
 public:
  using parser_type = boost::beast::http::request_parser<growing_body>;

  /// `channel`, `account` and `clock` must outlive the reader.
  request_reader(caller_channel& channel, ingress_account& account, const runtime_clock& clock,
                 const caller_limits& limits);

  /// Reads the head. The error is `operation_aborted` when the read was cancelled or the account
  /// ended, `header_limit` also for a trailer or a chunk's line that is too long.
  awaitable<error_code> ReadHead();
  /// Reads the body, if any; errors are those of `ReadHead` and `body_limit`.
  awaitable<error_code> ReadBody();

  parser_type& parser() { return parser_; }

 private:
  /// Gives the parser what was received.
  error_code Parse();
  awaitable<error_code> Receive();
  /// Lets connections that the budget has ended free their memory before a head is parsed that
  /// takes much.
  awaitable<void> AwaitRoom();
  /// Counts the memory of the parsed fields, and that of all that is held.
  void HoldFields();
  std::size_t HeldBytes();

  caller_channel& channel_;
  ingress_account& account_;
  const runtime_clock& clock_;
  const std::size_t max_buffer_;
  parser_type parser_;
  /// Memory of the fields of the head and of the trailer; estimated until they are parsed.
  std::size_t field_bytes_ = 0;
};

}  // namespace waxwingwing
