#pragma once

#include <cstdint>
#include <optional>

#include "entry/controller_election.h"
#include "entry/entry_state.h"
#include "platform/duty_client.h"
#include "waxwingwing/duty/duty_gate.h"
#include "waxwingwing/duty/duty_rate.h"

namespace waxwingwing {

/// The way to the platform's calls that only one VM at a time may make: the controller makes them.
/// All kinds of these calls share one channel, and so one rate. Exists only when
/// `entry_settings::duties` is set. Use from one thread.
class duty_channel {
 public:
  duty_channel(entry_context& entry, const controller_election& election, http_client& http);

  /// Whether this VM is the one that makes the calls.
  bool IsHolder();
  /// Term of this VM as the holder; its fencing token.
  std::uint64_t term() const { return election_.term(); }
  /// Allows one call at this moment and returns the identity to state in it; empty when this VM may
  /// not call now, or when the rate is used up. The call must follow at once.
  std::optional<duty_holder> TryBeginCall();
  duty_client& client() { return client_; }

 private:
  entry_context& entry_;
  const controller_election& election_;
  duty_client client_;
  duty_gate gate_;
  duty_rate rate_;
};

}  // namespace waxwingwing
