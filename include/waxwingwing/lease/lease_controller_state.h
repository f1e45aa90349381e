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

/// The process that takes part in the lease of its failure domain.
struct lease_participant {
  failure_domain_id failure_domain;
  vm_id vm;
  waxwingwing::incarnation incarnation;
};

enum class lease_action {
  /// Another process holds the lease, or an append of a claim is not decided yet.
  kWait,
  /// The own lease needs nothing now.
  kHold,
  /// Append the record of the decision.
  kClaim,
  kRenew,
  kRelease,
};

/// An append to the control stream; sent again with the same id until it is decided.
struct lease_append {
  append_id id;
  lease_record record;
};

struct lease_decision {
  lease_action action = lease_action::kWait;
  /// Set for `kClaim`, `kRenew` and `kRelease`.
  std::optional<lease_append> append;
};

/// Which engines may get an order now.
enum class order_permission {
  kNone,
  /// Engines that reject old fencing numbers. The own lease ran out, but nobody took it over.
  kCheckingOnly,
  kAll,
};

/// Holder and successor side of the controller lease of one failure domain.
///
/// Call `Observe` after every change of the control state, `Decide` in every control loop tick,
/// and `MayOrder` with a fresh time directly before each order. A pause of the process needs no
/// handling of its own, since it shows in `now`.
class lease_controller_state {
 public:
  lease_controller_state(lease_participant self, lease_timing timing, random_source ids);

  /// Takes note of the domain's lease; `latest` is null when there is none.
  void Observe(const domain_lease* latest, time_point now);

  /// What to do now. The append of a decision counts as sent at `now`.
  lease_decision Decide(const std::vector<vm_id>& live_members, time_point now);

  /// The log answered an append, which therefore needs no repetition.
  void RecordAppendAnswered(const append_id& id);
  /// An order was sent at `now`; the lease is not given up before it can no longer take effect.
  void RecordOrder(milliseconds timeout, time_point now);
  /// Stops orders and gives the lease up as soon as the sent ones are over. Not reversible.
  void RequestRelease() { releasing_ = true; }

  /// Whether this process wrote the latest lease record of the domain and has not given it up.
  bool IsHolder() const;
  /// After `RequestRelease`: whether nothing is left to do.
  bool IsReleased() const { return releasing_ && !IsHolder() && !pending_; }
  /// End of the own lease by the own clock; none when this process is not the holder.
  std::optional<time_point> ValidUntil() const;
  /// Number for orders; meaningful while `IsHolder()`.
  fencing_number Fencing() const;
  order_permission MayOrder(milliseconds timeout, time_point now) const;

 private:
  struct pending_append {
    lease_action action;
    lease_append append;
    /// The first time it was sent; the lease counts from here.
    time_point first_sent;
    time_point last_sent;
    bool answered = false;
  };

  void ResolvePending();
  lease_decision Start(lease_action action, time_point now);
  lease_decision Repeat(time_point now);
  lease_decision DecideAsHolder(time_point now);
  time_point ClaimTime(const std::vector<vm_id>& live_members) const;
  std::optional<log_offset> LatestOffset() const;

  const lease_participant self_;
  const lease_timing timing_;
  random_source ids_;
  std::optional<domain_lease> latest_;
  /// When the latest record, or that there is none, was first seen.
  std::optional<time_point> first_seen_;
  std::optional<pending_append> pending_;
  /// When the own latest record was sent.
  std::optional<time_point> valid_from_;
  /// No order sent so far can take effect after this time.
  time_point orders_over_{};
  bool releasing_ = false;
};

}  // namespace waxwingwing
