#pragma once

#include "waxwingwing/admission/backend_limits.h"
#include "waxwingwing/admission/credit_ledger.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// An entry VM's credits for one backend server.
class credit_holder {
 public:
  /// Takes a grant in place of earlier ones. `asked_at` is the time before the request for it was
  /// sent. Grants for another generation or incarnation, and those older than the held one, are
  /// dropped.
  void Accept(generation member_generation, incarnation server, fencing_number grantor,
              backend_amount granted, time_point asked_at);

  /// What may be used now for a backend server of this generation and incarnation.
  backend_amount Valid(generation member_generation, incarnation server, time_point now) const;

  /// Gives all credits up, for example after a pause of the process.
  void Drop() { granted_ = {}; }

 private:
  generation generation_;
  incarnation incarnation_;
  fencing_number grantor_;
  backend_amount granted_;
  time_point asked_at_{};
};

/// What an entry VM uses beyond its static share; reported to the grantor.
backend_amount UsedBeyond(backend_amount in_use, backend_amount static_share);

}  // namespace waxwingwing
