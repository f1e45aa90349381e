#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Identifies a call that must not run more than once.
struct idempotency_key {
  organisation_id organisation;
  std::string key;
  /// Stable hash of method, path and body.
  std::uint64_t fingerprint = 0;
};

/// The recorded answer of a call.
struct recorded_outcome {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const recorded_outcome&) const = default;
};

enum class claim_result {
  /// This request owns the key and may be sent once.
  kWon,
  /// Another request ran; its outcome is given.
  kRecorded,
  /// Another request owns the key and has no recorded outcome yet, or its owner died.
  kOutcomeUnknown,
  /// The key was used before with another fingerprint.
  kKeyReused,
  /// The log cannot be reached; the key is known not to be claimed by anybody up to now.
  kUnavailableNotRun,
  /// The log cannot be reached and the key may be claimed.
  kUnavailableUnknown,
};

struct claim_answer {
  claim_result result = claim_result::kUnavailableUnknown;
  /// Names the claim in `RecordOutcome` and `ReleaseClaim`; set when won.
  append_id claim;
  std::optional<recorded_outcome> outcome;
};

/// A status and a JSON body for an administrative endpoint.
struct admin_answer {
  std::uint32_t status = 200;
  std::string json;
};

/// The request threads' way to the control thread.
///
/// Every member may be called from any thread; callbacks run on the control thread and must only
/// post.
class control_access {
 public:
  virtual ~control_access() = default;

  /// Claims a key; answers by `wait` at the latest. Waits that long for the outcome of another
  /// request with the key.
  virtual void ClaimKey(idempotency_key key, milliseconds wait,
                        std::function<void(claim_answer)> done) = 0;
  /// Records the outcome of a won claim.
  virtual void RecordOutcome(append_id claim, recorded_outcome outcome) = 0;
  /// Frees the key of a won claim of which no byte was sent.
  virtual void ReleaseClaim(append_id claim) = 0;

  /// A connection to the backend server failed or went silent.
  virtual void ReportBackendFailure(vm_id vm, incarnation seen) = 0;
  /// An answer of the backend server carried this incarnation and uptime.
  virtual void ReportIncarnation(vm_id vm, incarnation seen, milliseconds uptime) = 0;
  /// A request found no room at any replica of the group; more credits are wanted.
  virtual void ReportUnmetDemand(model_group_id group) = 0;

  virtual void SubmitReleaseNote(std::string json, std::function<void(admin_answer)> done) = 0;
  virtual void GetReleaseNote(note_id note, std::function<void(admin_answer)> done) = 0;
  virtual void GetStatus(std::function<void(admin_answer)> done) = 0;
};

}  // namespace waxwingwing
