#pragma once

#include <map>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/directory/backend_server.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

struct forward_core;

/// Finds out whether a server that ended a connection has crashed, and reports crashes with the
/// prompts that the server was about to answer.
class crash_check {
 public:
  explicit crash_check(forward_core& core) : core_(core) {}

  /// Checks the server; concurrent calls for one server make one report. `parts`: the shared
  /// parts of the prompt of a request whose connection ended before its answer had begun.
  awaitable<void> Run(dispatch_candidate server, std::vector<prompt_part_id> parts);

 private:
  void ReportCrash(const dispatch_candidate& server);

  forward_core& core_;
  /// Prompts of the requests at the servers that are being checked.
  std::map<backend_server_id, std::vector<std::vector<prompt_part_id>>> pending_;
};

}  // namespace waxwingwing
