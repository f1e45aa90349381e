#pragma once

#include <optional>

#include "daemon/control_context.h"
#include "daemon/log_controller.h"
#include "waxwingwing/lease/lease_controller_state.h"

namespace waxwingwing {

/// Claims, renews and releases the controller lease of this node's failure domain through the log.
/// Runs on the control thread.
class lease_controller {
 public:
  lease_controller(control_context& context, log_controller& log);

  void Start();
  /// Releases the lease as soon as the orders already sent have ended.
  void RequestRelease() { decisions_.RequestRelease(); }
  bool IsReleased() const { return decisions_.IsReleased(); }

  /// Whether the latest lease record of the domain names this process.
  bool IsHolder() const { return decisions_.IsHolder(); }
  /// Whether this process holds the lease and it is still valid by the local clock.
  bool HoldsValidLease(time_point now) const;
  fencing_number Fencing() const { return decisions_.Fencing(); }
  std::optional<time_point> ValidUntil() const { return decisions_.ValidUntil(); }
  order_permission PermittedOrders(time_point now) const {
    return decisions_.PermittedOrders(kOrderTimeout, now);
  }
  void RecordOrder(time_point now) { decisions_.RecordOrder(kOrderTimeout, now); }

 private:
  boost::asio::awaitable<void> Loop();
  void Tick();
  boost::asio::awaitable<void> Append(lease_append append);
  std::vector<vm_id> LiveMembers(time_point now) const;

  control_context& context_;
  log_controller& log_;
  lease_controller_state decisions_;
};

}  // namespace waxwingwing
