#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "waxwingwing/admission/backend_limits.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// How long a credit may be used to start a request, by the clock of the requesting node, counted
/// from before it sent its request for the credit.
inline constexpr milliseconds kCreditTimeToLive{3000};

/// Longest time that a request may run. Once it has passed, a node that stopped reporting has no
/// running requests any more.
inline constexpr milliseconds kMaxRequestDuration{600000};

/// The grantor's record of the credits for one backend server, which each entry VM may use beyond
/// its static share.
///
/// Invariant: at any time, the credits that entry VMs may use plus the expired ones that are still
/// in use add up to at most the pool.
class credit_ledger {
 public:
  /// Sets the amount that can be granted. A new generation or incarnation of the backend server has
  /// none of the requests of the previous one, so all earlier credits become void.
  void SetPool(generation member_generation, incarnation server, backend_amount pool);

  /// Starts the term of a new grantor. Credits of its predecessor may be used for another time to
  /// live, and requests that were sent with them may run longer.
  void BeginTerm(time_point now);

  /// Records the usage that the backend server itself reports, and the nodes that may hold credits.
  /// Until each of these nodes has reported its usage in this term, the usage that the backend
  /// server reports counts against the pool.
  void SetHeld(backend_amount held, const std::set<vm_id>& nodes);

  /// Grants a node its credits for the next time to live, which replace its earlier ones.
  backend_amount Grant(const vm_id& node, backend_amount wanted, backend_amount used,
                       time_point now);

  /// Releases all credits of a node; allowed only when its process is known to have terminated.
  void RemoveNode(const vm_id& node);

  /// Sum of the credits that nodes may use or are using.
  backend_amount Reserved(time_point now) const;

  generation member_generation() const { return generation_; }
  incarnation server() const { return incarnation_; }

 private:
  struct grant {
    backend_amount amount;
    time_point expires_at{};
  };

  struct node_account {
    /// The newest grant, last, and the earlier ones that the node may still use if the response
    /// with the newest was lost. Each grant expires on its own, so that smaller later grants do not
    /// extend the reservation of a large one.
    std::vector<grant> grants;
    backend_amount used;
    backend_amount wanted;
    time_point reported_at{};

    backend_amount Reserved(time_point now) const;
    void RemoveExpiredGrants(time_point now);
  };

  backend_amount FairShare(const vm_id& node, backend_amount wanted, time_point now) const;
  backend_amount UnreportedUsage(time_point now) const;

  generation generation_;
  incarnation incarnation_;
  backend_amount pool_;
  backend_amount held_;
  std::map<vm_id, node_account> nodes_;
  std::set<vm_id> unreported_;
  bool all_nodes_reported_ = true;
  time_point first_grant_at_{};
};

}  // namespace waxwingwing
