#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/gateway/control_access.h"

namespace waxwingwing {

/// Largest body of a recorded outcome, in bytes.
inline constexpr std::size_t kMaxOutcomeBody = std::size_t{16} << 10U;
/// Longest idempotency key, in bytes; within the limit on request headers.
inline constexpr std::size_t kMaxKeyBytes = std::size_t{16} << 10U;

/// An entry VM claims the key, in order to run the call.
struct claim_entry {
  /// Identifies the claim in its outcome and its release.
  append_id claim;
  idempotency_key key;
  vm_id vm;
  waxwingwing::incarnation incarnation;
};

/// The call of the winning claim has ended.
struct outcome_entry {
  append_id claim;
  /// Empty when the outcome is larger than what may be recorded.
  std::optional<recorded_outcome> outcome;
};

/// The owner of the winning claim sent nothing to a backend server and never will.
struct release_entry {
  append_id claim;
};

using claims_entry = std::variant<claim_entry, outcome_entry, release_entry>;

/// A record of the `claims` stream, with entries that are committed together.
struct claims_record {
  /// Next offset of the writer's index when it composed the record; a retry of the append keeps it.
  /// A claim that is appended much later is void, so that a delayed append cannot win after all its
  /// duplicates were forgotten.
  log_offset based_on;
  std::vector<claims_entry> entries;
};

/// Returns the JSON text of a record. Keys and outcomes may contain any bytes.
std::string EncodeClaimsRecord(const claims_record& record);
/// Parses the JSON text of a record. Fails on any other text; never throws.
result<claims_record> DecodeClaimsRecord(std::string_view payload);

}  // namespace waxwingwing
