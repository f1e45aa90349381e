#include "entry/duty_channel.h"

namespace waxwingwing {

duty_channel::duty_channel(entry_context& entry, const controller_election& election,
                           http_client& http)
    : entry_(entry),
      election_(election),
      // A call that begins just before the lease expires must arrive while the next holder waits.
      client_(http, entry.settings.duties->address, entry.settings.duties->lease * 2 / 3,
              [this] { return IsHolder(); }),
      gate_(entry.settings.duties->lease + entry.settings.duties->thaw),
      rate_(entry.settings.duties->calls_per_second, entry.clock.Now()) {}

bool duty_channel::IsHolder() {
  return gate_.MayCall(election_.term(), election_.IsController(), entry_.clock.Now());
}

std::optional<duty_holder> duty_channel::TryBeginCall() {
  if (!IsHolder() || !rate_.TryTake(entry_.clock.Now())) return std::nullopt;
  return duty_holder{entry_.settings.vm.str(), election_.term()};
}

}  // namespace waxwingwing
