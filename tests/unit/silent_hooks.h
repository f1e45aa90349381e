#pragma once

#include "waxwingwing/forward/forwarder.h"

namespace waxwingwing {

/// Hooks of a forwarder whose keys are current and whose servers answer probes.
class silent_hooks final : public forward_hooks {
 public:
  bool AreKeysCurrent() const override { return true; }
  void OnStall(const server_group_id& /*group*/, const backend_server_id& /*head*/) override {}
  void OnDirectoryMismatch() override {}
  awaitable<bool> ProbeServer(dispatch_candidate /*server*/, milliseconds /*limit*/) override {
    co_return true;
  }
  duration ConfigurationAge() const override { return duration::zero(); }
  duration DirectoryAge() const override { return duration::zero(); }
};

}  // namespace waxwingwing
