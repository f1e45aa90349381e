#pragma once

#include <optional>
#include <vector>

#include "waxwingwing/control/control_record.h"
#include "waxwingwing/control/control_state.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/lease/lease_timing.h"

namespace waxwingwing {

/// Identity of the process as a candidate for the lease of its failure domain.
struct lease_participant {
  failure_domain_id failure_domain;
  vm_id vm;
  waxwingwing::incarnation incarnation;
};

enum class lease_action {
  /// Another process holds the lease, or the outcome of an appended claim is not known yet.
  kWait,
  /// This process holds the lease and has nothing to append now.
  kHold,
  /// Append the record of the decision, which claims the lease.
  kClaim,
  /// Append the record of the decision, which renews the lease.
  kRenew,
  /// Append the record of the decision, which releases the lease.
  kRelease,
};

/// An append to the control stream. It is sent again with the same id until its outcome is known.
struct lease_append {
  append_id id;
  lease_record record;
};

struct lease_decision {
  lease_action action = lease_action::kWait;
  /// Set for `kClaim`, `kRenew` and `kRelease`.
  std::optional<lease_append> append;
};

/// Engines to which the process may send orders, which assign them to replicas or release them.
enum class order_permission {
  kNone,
  /// Only engines that reject old fencing numbers. The lease has expired, but no successor has
  /// claimed it.
  kFencingEnginesOnly,
  kAll,
};

/// State machine of the controller lease of one failure domain, for its holder and for the
/// candidates.
///
/// Call `Observe` after every change of the control state, `Decide` in every control loop tick, and
/// `PermittedOrders` with a fresh time directly before each order. A pause of the process needs no
/// special handling, since `now` reflects it.
class lease_controller_state {
 public:
  lease_controller_state(lease_participant self, lease_timing timing, random_source ids);

  /// Updates the domain's latest lease; `latest` is null when there is none.
  void Observe(const domain_lease* latest, time_point now);

  /// Returns the next action. The caller sends the append of a decision at once: it counts as sent
  /// at `now`.
  lease_decision Decide(const std::vector<vm_id>& live_members, time_point now);

  /// Records that the log has stored an append, so that `Decide` does not send it again. Whether
  /// the record takes effect follows from `Observe`.
  void RecordAppendAnswered(const append_id& id);
  /// Records that an order was sent at `now`; the lease is released only after the order can no
  /// longer take effect.
  void RecordOrder(milliseconds timeout, time_point now);
  /// Stops orders and releases the lease once no sent order can take effect any more. Not
  /// reversible.
  void RequestRelease() { releasing_ = true; }

  /// Whether this process wrote the latest lease record of the domain and has not released the
  /// lease.
  bool IsHolder() const;
  /// Whether the release requested by `RequestRelease` is complete.
  bool IsReleased() const { return releasing_ && !IsHolder() && !pending_; }
  /// End of this process's lease by its own clock; empty when it is not the holder.
  std::optional<time_point> ValidUntil() const;
  /// Fencing number for orders; meaningful while `IsHolder()`.
  fencing_number Fencing() const;
  order_permission PermittedOrders(milliseconds timeout, time_point now) const;

 private:
  struct pending_append {
    lease_action action;
    lease_append append;
    /// When the append was first sent; becomes `valid_from_` once the append has taken effect.
    time_point first_sent;
    time_point last_sent;
    bool answered = false;
  };

  void ResolvePending();
  lease_decision StartAppend(lease_action action, time_point now);
  lease_decision RetryAppend(time_point now);
  lease_decision DecideAsHolder(time_point now);
  time_point EarliestClaimTime(const std::vector<vm_id>& live_members) const;
  std::optional<log_offset> LatestOffset() const;

  const lease_participant self_;
  const lease_timing timing_;
  random_source append_id_source_;
  std::optional<domain_lease> latest_;
  /// When the latest record, or its absence, was first observed.
  std::optional<time_point> first_seen_;
  std::optional<pending_append> pending_;
  /// When this process first sent its latest record; the duration of its lease counts from here.
  std::optional<time_point> valid_from_;
  /// Time after which no order sent so far can take effect.
  time_point orders_expire_at_{};
  bool releasing_ = false;
};

}  // namespace waxwingwing
