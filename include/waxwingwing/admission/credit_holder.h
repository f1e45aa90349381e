#pragma once

#include "waxwingwing/admission/backend_limits.h"
#include "waxwingwing/admission/credit_ledger.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// Holds the credits of an entry VM for one backend server.
class credit_holder {
 public:
  /// Replaces the credits by those of a newer grant. `asked_at` is a time before the request for
  /// the grant was sent. Grants older than the held one, by grantor and then by `asked_at`, are
  /// ignored; credits for another generation or incarnation are not valid.
  void Accept(generation member_generation, incarnation server, fencing_number grantor,
              backend_amount granted, time_point asked_at);

  /// Credits that may be used now for a backend server of this generation and incarnation.
  backend_amount Valid(generation member_generation, incarnation server, time_point now) const;

  /// Discards all credits, for example after a pause of the process.
  void Discard() { granted_ = {}; }

 private:
  generation generation_;
  incarnation incarnation_;
  fencing_number grantor_;
  backend_amount granted_;
  time_point asked_at_{};
};

/// The amount that an entry VM uses beyond its static share, which it reports to the grantor.
backend_amount UsageBeyondStaticShare(backend_amount in_use, backend_amount static_share);

}  // namespace waxwingwing
