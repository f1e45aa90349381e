#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "waxwingwing/admission/backend_limits.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// How long a credit may be used to start a request, by the clock of the node that asked, counted
/// from before it asked.
inline constexpr milliseconds kCreditTimeToLive{3000};

/// Longest time that a request may run; after it a silent node holds nothing any more.
inline constexpr milliseconds kLongestRequest{600000};

/// The grantor's account of the credits of one backend server: what each entry VM may use beyond
/// its static share.
///
/// Invariant: the credits that entry VMs may use at any moment, plus what they use of earlier ones,
/// add up to at most the pool.
class credit_ledger {
 public:
  /// Sets what can be granted. A new generation or incarnation of the backend server holds none of
  /// the requests that the earlier one held, so that all earlier credits are void.
  void SetPool(generation member_generation, incarnation server, backend_amount pool);

  /// Starts the term of a new grantor: credits of its predecessor may be in use for one time to
  /// live, and requests sent with them longer.
  void BeginTerm(time_point now);

  /// Records the backend server's own count of held requests and the nodes that may hold credits.
  /// Until each of them has reported its use in this term, what the backend server holds counts
  /// against the pool.
  void SetHeld(backend_amount held, const std::set<vm_id>& nodes);

  /// Grants a node its credits for the next time to live, in place of its earlier ones.
  backend_amount Grant(const vm_id& node, backend_amount wanted, backend_amount used,
                       time_point now);

  /// Frees what a node held; only when its process is known to have ended.
  void ForgetNode(const vm_id& node);

  /// What nodes may use or use now.
  backend_amount Reserved(time_point now) const;

  generation member_generation() const { return generation_; }
  incarnation server() const { return incarnation_; }

 private:
  struct grant {
    backend_amount amount;
    time_point until{};
  };

  struct node_account {
    /// The newest grant, last, and earlier ones that the node may still go by when the answer with
    /// the newest was lost. Each ends on its own, so that a peak is not held by later, smaller
    /// ones.
    std::vector<grant> grants;
    backend_amount used;
    backend_amount wanted;
    time_point reported_at{};

    backend_amount Reserved(time_point now) const;
    void DropEndedGrants(time_point now);
  };

  backend_amount FairShare(const vm_id& node, backend_amount wanted, time_point now) const;
  backend_amount UnreportedHold(time_point now) const;

  generation generation_;
  incarnation incarnation_;
  backend_amount pool_;
  backend_amount held_;
  std::map<vm_id, node_account> nodes_;
  std::set<vm_id> unreported_;
  bool term_settled_ = true;
  time_point grants_from_{};
};

}  // namespace waxwingwing
