#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/election/controller_lease.h"
#include "waxwingwing/platform/wakeable_pause.h"

namespace waxwingwing {

/// Elects the controller, the one VM that sends orders to backend servers, by a lease in the store.
///
/// VMs with more processor time and a faster link claim the lease first. Use from one thread.
class controller_election {
 public:
  /// `self`: name of this process, under which other VMs can reach it.
  controller_election(entry_context& entry, store_client& store, std::string self,
                      random_source random);

  /// Claims or renews the lease until shutdown. Releases it, and claims none, while this VM does
  /// not reach the backend servers and others do.
  awaitable<void> Run();
  /// Stops acting as the controller at once and releases the lease, so that another VM can take
  /// over.
  awaitable<void> Leave();
  /// Sets what is called after the lease was released.
  void SetReleaseHook(std::function<void()> hook) { on_release_ = std::move(hook); }
  /// Records what a current message of the controller says about the lease.
  void Observe(const lease_record& record);

  /// Whether this VM may send orders at this moment.
  bool IsController() const { return !left_ && lease_.MayAct(entry_.clock.Now()); }
  /// Whether this VM holds the lease, including the time before it may send orders.
  bool HoldsControllerRole() const { return !left_ && lease_.IsHolder(); }
  /// Distinguishes the terms of successive controllers; increases. Zero on other VMs.
  std::uint64_t term() const { return lease_.term(); }
  /// The lease as this VM last saw it.
  const lease_record& record() const { return lease_.record(); }

 private:
  awaitable<void> Read();
  awaitable<void> Append();
  awaitable<void> Release();
  void LogChange(bool was_holder);

  entry_context& entry_;
  store_client& store_;
  controller_lease lease_;
  wakeable_pause pause_;
  dependency_health health_;
  bool left_ = false;
  std::function<void()> on_release_;
};

}  // namespace waxwingwing
