#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Identifies a service call that must not run more than once.
struct idempotency_key {
  organisation_id organisation;
  std::string key;
  /// Stable hash of method, path and body.
  std::uint64_t fingerprint = 0;
};

/// The answer of a service call, as it is stored in the log for replay.
struct recorded_outcome {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const recorded_outcome&) const = default;
};

/// Result of an attempt to claim an idempotency key.
enum class claim_result {
  /// This request owns the key and may be sent once.
  kWon,
  /// Another request with the key has run; its recorded outcome is returned.
  kRecorded,
  /// Another request owns the key and has no recorded outcome: it still runs, or the
  /// entry VM that claimed the key failed.
  kOutcomeUnknown,
  /// The key was used before with another fingerprint.
  kKeyReused,
  /// The log cannot be reached; no request has claimed the key so far.
  kUnavailableNotRun,
  /// The log cannot be reached; whether a request has claimed the key is unknown.
  kUnavailableUnknown,
};

/// Reply to `control_access::ClaimKey`.
struct claim_answer {
  claim_result result = claim_result::kUnavailableUnknown;
  /// Identifies the claim in `RecordOutcome` and `ReleaseClaim`; set for `kWon`.
  append_id claim;
  /// Set for `kRecorded`.
  std::optional<recorded_outcome> outcome;
};

/// A status and a JSON body for an administrative endpoint.
struct admin_answer {
  std::uint32_t status = 200;
  std::string json;
};

/// Interface through which request threads call the control thread.
///
/// All members may be called from any thread. Callbacks run on the control thread and must only
/// post work to another thread.
class control_access {
 public:
  virtual ~control_access() = default;

  /// Claims a key and calls `done` with the result before the time `wait` has passed. When another
  /// request holds the key, that time is spent waiting for the outcome of the other request.
  virtual void ClaimKey(idempotency_key key, milliseconds wait,
                        std::function<void(claim_answer)> done) = 0;
  /// Records the outcome of a won claim.
  virtual void RecordOutcome(append_id claim, recorded_outcome outcome) = 0;
  /// Releases the key of a won claim. Only allowed when no byte of the call was sent.
  virtual void ReleaseClaim(append_id claim) = 0;

  /// Reports that a connection to the backend server failed or timed out.
  virtual void ReportBackendFailure(vm_id vm, incarnation seen) = 0;
  /// Reports the incarnation and uptime that a response of the backend server carried.
  virtual void ReportIncarnation(vm_id vm, incarnation seen, milliseconds uptime) = 0;
  /// Reports that a request found every replica of the group at its limit, so that more credits are
  /// requested.
  virtual void ReportUnmetDemand(model_group_id group) = 0;

  virtual void SubmitReleaseNote(std::string json, std::function<void(admin_answer)> done) = 0;
  virtual void GetReleaseNote(note_id note, std::function<void(admin_answer)> done) = 0;
  virtual void GetStatus(std::function<void(admin_answer)> done) = 0;
};

}  // namespace waxwingwing
