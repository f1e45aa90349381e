#include "forward/crash_check.h"

#include <utility>

#include "forward/forward_core.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Interval at which requests look for the end of a check that another request has started.
constexpr milliseconds kPollInterval{5};

std::string Join(const std::vector<prompt_part_id>& parts) {
  std::string text;
  for (const prompt_part_id& part : parts) text += part.str() + " ";
  return text;
}

}  // namespace

awaitable<void> crash_check::Run(dispatch_candidate server, std::vector<prompt_part_id> parts) {
  auto& prompts = pending_[server.server];
  prompts.push_back(std::move(parts));
  if (prompts.size() > 1) {
    while (pending_.contains(server.server)) co_await Pause(core_.context, kPollInterval);
    co_return;
  }
  const process_state state = co_await core_.processes.Run(server.address);
  // A path that is lost may refuse connections in the server's place.
  const bool has_ended = state == process_state::kEnded && co_await core_.paths.Run();
  if (has_ended) ReportCrash(server);
  pending_.erase(server.server);
}

void crash_check::ReportCrash(const dispatch_candidate& server) {
  const auto& prompts = pending_[server.server];
  const auto quarantined = core_.quarantine.RecordCrash(server.server, prompts, core_.Now());
  core_.metrics.Counter("waxwingwing_server_crashes_total").Increment();
  core_.log.Write("server_crashed", {{"server", server.server.str()},
                                     {"group", server.group.str()},
                                     {"prompts", prompts.size()},
                                     {"first_prompt", Join(prompts.front())},
                                     {"quarantined", Join(quarantined)}});
}

}  // namespace waxwingwing
