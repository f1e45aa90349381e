#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/integration/http_client.h"
#include "tests/integration/http_connection.h"

namespace waxwingwing::integration {

/// What arrived of a streamed answer.
struct stream_answer {
  /// Status, headers and, once the answer ended, the raw body.
  http_answer raw;
  std::vector<std::string> tokens;
  /// The `index` field of each token's event.
  std::vector<std::uint64_t> indexes;
  /// The `attempt` field of each token's event.
  std::vector<std::string> attempts;
  /// Whether `[DONE]` came.
  bool done = false;
  /// The data of an `event: error`.
  std::optional<nlohmann::json> error_event;
  /// Why reading ended before the end of the answer; empty when it did not.
  std::string failure;
};

/// Reads server-sent events of one streamed answer, as fast as it is asked to.
class event_stream {
 public:
  struct settings {
    /// Bounds connecting and each single wait for bytes.
    milliseconds timeout{10000};
    /// Size of the socket's receive buffer, for slow readers; 0: the system's default.
    int receive_buffer_bytes = 0;
  };

  /// Connects and sends the request; a failure shows in `answer().failure`.
  event_stream(const std::string& address, const std::string& path, const header_list& headers,
               const nlohmann::json& body, settings options);
  event_stream(const std::string& address, const std::string& path, const header_list& headers,
               const nlohmann::json& body)
      : event_stream(address, path, headers, body, settings()) {}
  event_stream(const event_stream&) = delete;
  event_stream& operator=(const event_stream&) = delete;

  /// Reads until there are `count` tokens or the answer ended; true when there are.
  bool ReadTokens(std::size_t count);
  /// Reads until the answer ended.
  const stream_answer& ReadAll();
  /// Closes the connection.
  void Close() { connection_.Close(); }

  const stream_answer& answer() const { return answer_; }

 private:
  void ReadSome();
  void ParseEvents();
  void ParseEvent(const std::string& text);
  void AddToken(const nlohmann::json& event);
  bool Ended() const;

  settings settings_;
  http_connection connection_;
  http_connection::parser parser_;
  stream_answer answer_;
  std::size_t parsed_ = 0;
};

}  // namespace waxwingwing::integration
