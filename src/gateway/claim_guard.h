#pragma once

#include "waxwingwing/gateway/control_access.h"

namespace waxwingwing {

/// Owns a won claim of an idempotency key.
///
/// The destructor releases the key unless a byte of the call may have been sent.
class claim_guard {
 public:
  claim_guard(control_access& control, append_id claim)
      : control_(control), claim_(std::move(claim)) {}
  claim_guard(const claim_guard&) = delete;
  claim_guard& operator=(const claim_guard&) = delete;
  ~claim_guard() {
    if (!sent_) control_.ReleaseClaim(claim_);
  }

  /// Must be called before the first byte is written to a backend server.
  void SetSent() { sent_ = true; }
  void Record(recorded_outcome outcome) { control_.RecordOutcome(claim_, std::move(outcome)); }

 private:
  control_access& control_;
  append_id claim_;
  bool sent_ = false;
};

}  // namespace waxwingwing
