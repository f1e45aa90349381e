#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using time_point = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Microseconds of the system's monotonic clock, which all processes share.
std::int64_t NowMicros();

/// A deadline that many milliseconds from now.
time_point After(milliseconds time);

/// Owns a socket.
class descriptor {
 public:
  explicit descriptor(int number = -1) : number_(number) {}
  ~descriptor();
  descriptor(descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  descriptor& operator=(descriptor&& other) noexcept {
    std::swap(number_, other.number_);
    return *this;
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;

  int number() const { return number_; }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_;
};

/// One HTTP message: a request or a response.
struct message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// The first value of a header; empty when it is missing. Names are compared without case.
  std::string Field(std::string_view name) const;
  /// The second word of the start line: the status of a response, the target of a request.
  std::string SecondWord() const;
};

enum class read_result { kMessage, kEnd, kTimeout, kMalformed };

/// A TCP connection that reads and writes HTTP messages.
class connection {
 public:
  explicit connection(descriptor socket) : socket_(std::move(socket)) {}

  /// Connects to IP:PORT. Empty when nobody listens there.
  static std::optional<connection> Open(const std::string& address);

  bool Write(std::string_view bytes) const;
  /// Reads one message with its body, which has a length or chunks.
  read_result Read(message& read, time_point deadline);
  /// Reads a head only.
  read_result ReadHead(message& read, time_point deadline);
  /// Reads a body of a known length.
  read_result ReadBody(std::size_t length, std::string& body, time_point deadline);

 private:
  read_result Fill(time_point deadline);
  read_result ReadChunks(std::string& body, time_point deadline);

  descriptor socket_;
  std::string buffer_;
};

/// Listens on a free port of loopback.
class listener {
 public:
  listener();
  const std::string& address() const { return address_; }
  /// Waits for a connection.
  connection Accept() const;

 private:
  descriptor socket_;
  std::string address_;
};

/// A file of lines that begin with the time in microseconds.
class record_file {
 public:
  explicit record_file(const std::string& path) : file_(path, std::ios::app) {}
  void Write(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// Appends a keyed record to a topic of the store; false when the store does not accept it.
bool AppendToStore(const std::string& store, const std::string& topic, const std::string& key,
                   const std::string& value);

/// A caller's POST request; `headers`: further ones, each with its line end.
std::string WriteCall(const std::string& target, const std::string& id, const std::string& key,
                      const std::string& headers, const std::string& body);

/// The value of the argument `--NAME=VALUE`, or `fallback`.
std::string Argument(const std::vector<std::string>& arguments, std::string_view name,
                     std::string fallback);

}  // namespace review
