#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "stand_ins/asio.h"
#include "stand_ins/change_signal.h"

namespace waxwingwing::stand_ins {

/// Faults in force for all connections of a proxy; changes take effect on open connections.
struct proxy_faults {
  milliseconds delay{0};
  bool cut = false;
  bool freeze_to_target = false;
  bool freeze_from_target = false;
  std::uint64_t drop_answers = 0;
};

/// One forwarded connection. The bytes of each direction wait in a queue until they are due.
class proxy_connection : public std::enable_shared_from_this<proxy_connection> {
 public:
  /// `faults` must outlive the connection.
  proxy_connection(tcp::socket accepted, proxy_faults& faults);
  proxy_connection(const proxy_connection&) = delete;
  proxy_connection& operator=(const proxy_connection&) = delete;

  /// Connects to the target and forwards until both directions have ended.
  awaitable<void> Run(tcp::endpoint target);
  void Close();
  const tcp::socket& accepted() const { return accepted_; }
  /// From now on accepts bytes and never forwards them.
  void Silence() { silent_ = true; }

  std::uint64_t bytes_to_target() const { return to_target_.bytes; }
  std::uint64_t bytes_from_target() const { return from_target_.bytes; }

 private:
  struct queued_chunk {
    time_point due;
    /// Empty to mark the end of the byte stream.
    std::string data;
  };

  struct direction {
    direction(tcp::socket& from, tcp::socket& to, const bool& frozen)
        : source(from), sink(to), freeze(frozen) {}

    tcp::socket& source;
    tcp::socket& sink;
    const bool& freeze;
    std::deque<queued_chunk> queue;
    std::size_t queued_bytes = 0;
    std::uint64_t bytes = 0;
    bool finished = false;
    /// Notified when the queue changed or the direction finished.
    change_signal changed;
  };

  awaitable<void> Read(direction& flow);
  awaitable<void> Write(direction& flow);
  /// Consumes one `drop_answers` fault; returns true when the answer is to be dropped instead of
  /// forwarded.
  bool ConsumeDropFault(const direction& flow);

  proxy_faults& faults_;
  tcp::socket accepted_;
  tcp::socket target_;
  direction to_target_;
  direction from_target_;
  bool silent_ = false;
};

}  // namespace waxwingwing::stand_ins
