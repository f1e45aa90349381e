#pragma once

#include <memory>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/dispatch/server_paths.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

struct forward_core;

/// Finds out whether this VM has lost its paths to all backend servers: records what requests see,
/// and probes several servers while that leaves a doubt, until the paths are back.
class path_check {
 public:
  explicit path_check(forward_core& core);

  /// Records that a byte arrived from a server.
  void RecordContact();
  /// Records that a connection to a server failed or broke.
  void RecordFailure();
  /// Looks for requests that have been waiting while no server has sent anything.
  void CheckSilence();

  bool IsLost() const { return paths_.IsLost(); }
  /// When the paths were lost last.
  time_point lost_at() const { return lost_at_; }
  /// Whether this VM reaches servers, as an answer shows that arrived just before the call or after
  /// it. What is seen of a server is a fact about the server only when this is true.
  awaitable<bool> Run();

 private:
  /// Probes while there is a doubt or the paths are lost.
  void StartWatch();
  awaitable<void> Watch();
  /// Probes several servers at once; returns whether one of them has answered.
  awaitable<bool> RunRound();
  awaitable<bool> Probe(dispatch_candidate server);
  /// Servers to be probed, of as many failure domains as possible.
  std::vector<dispatch_candidate> SelectServers();

  forward_core& core_;
  server_paths paths_;
  random_source random_ = random_source::FromDevice();
  bool is_watching_ = false;
  time_point lost_at_{};
};

}  // namespace waxwingwing
