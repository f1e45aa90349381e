#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "forward/server_pool.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

struct forward_core;

/// What is known about a server's process after the end of one of its connections.
enum class process_state {
  /// Takes connections.
  kRunning,
  /// Refuses connections.
  kEnded,
  /// Cannot be reached, or takes connections only to close them.
  kUnknown,
};

const char* NameOf(process_state state);

/// Finds out whether a server's process runs on after one of its connections has ended, by
/// connecting to it again. The operating system closes the connections of a killed process like
/// those that a process closes itself, so that only another connection tells them apart.
///
/// A process that starts at the same address before the check counts as the same one.
class process_check {
 public:
  explicit process_check(forward_core& core) : core_(core) {}

  /// State of the process at `address` at a moment after the call. Concurrent checks of one address
  /// share a connection, which is kept for requests if the process runs.
  awaitable<process_state> Run(std::string address);
  /// Whether a new connection to `address` is taken and stays open; it is kept for requests.
  awaitable<bool> TakesConnections(std::string address);

 private:
  struct round {
    time_point begun_at;
    std::optional<process_state> state;
  };

  awaitable<process_state> Connect(std::string address);
  awaitable<process_state> TryConnect(std::string address,
                                      std::unique_ptr<server_connection>& connection);

  forward_core& core_;
  /// Checks under way, by address.
  std::map<std::string, std::shared_ptr<round>> rounds_;
};

}  // namespace waxwingwing
