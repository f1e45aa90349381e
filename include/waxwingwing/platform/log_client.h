#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/platform/http_client.h"

namespace waxwingwing {

/// One record of a stream of the platform's log.
struct stream_record {
  log_offset offset;
  waxwingwing::append_id append_id;
  /// JSON text.
  std::string payload;

  bool operator==(const stream_record&) const = default;
};

/// Records in ascending order of offset.
struct stream_page {
  /// Oldest offset that the log retains.
  log_offset first_offset;
  log_offset next_offset;
  std::vector<stream_record> records;

  bool operator==(const stream_page&) const = default;
};

/// Outcome of an append.
enum class append_state {
  kAppended,
  /// The record is certainly not in the log: no connection, or the log answered 503.
  kNotAppended,
  /// The record may be in the log, for example because the answer was lost.
  kUnknown,
};

struct append_answer {
  append_state state = append_state::kUnknown;
  /// Set when appended.
  log_offset offset;
  /// Set when not appended or unknown.
  std::string reason;
};

/// Outcome of a read.
enum class read_state {
  kPage,
  /// The log no longer retains the requested offset.
  kTrimmed,
  kFailed,
};

struct read_answer {
  read_state state = read_state::kFailed;
  /// Set when a page was read.
  stream_page page;
  /// Oldest offset that the log retains; set when lapsed.
  log_offset first_offset;
  /// Set when failed.
  std::string reason;
};

/// Selects the records of a stream to read.
struct stream_range {
  log_offset from;
  std::uint32_t limit = 256;
  /// Longest time that the log may wait for a new record.
  milliseconds wait{0};
};

/// Client of the platform's append-only log. Never throws; a malformed answer yields a failure with
/// its reason.
class log_client {
 public:
  /// `http` must outlive the client. `address` is `ip:port`; `timeout` applies to each call and
  /// excludes the waiting time of a long poll.
  log_client(http_client& http, std::string address, milliseconds timeout);

  /// Appends a record once, without a retry. `payload` is JSON text.
  boost::asio::awaitable<append_answer> Append(std::string stream, append_id id,
                                               std::string payload);
  boost::asio::awaitable<read_answer> Read(std::string stream, stream_range range);

 private:
  http_client& http_;
  std::string address_;
  milliseconds timeout_;
};

/// Parses and validates the answer to an append; `exchange` may have failed.
append_answer ParseAppendAnswer(const http_exchange& exchange);
/// Parses and validates the answer to a read. Records must ascend from `from`.
read_answer ParseReadAnswer(const http_reply& reply, log_offset from);

}  // namespace waxwingwing
