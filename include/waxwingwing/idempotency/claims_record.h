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
/// Longest idempotency key, in bytes; fits the header limit.
inline constexpr std::size_t kMaxKeyBytes = std::size_t{16} << 10U;

/// An entry VM wants to run the call with the key.
struct claim_entry {
  /// Names the claim in its outcome and its release.
  append_id claim;
  idempotency_key key;
  vm_id vm;
  waxwingwing::incarnation incarnation;
};

/// The winner's call is over.
struct outcome_entry {
  append_id claim;
  /// None when the outcome is larger than what may be recorded.
  std::optional<recorded_outcome> outcome;
};

/// The winner sent nothing and never will.
struct release_entry {
  append_id claim;
};

using claims_entry = std::variant<claim_entry, outcome_entry, release_entry>;

/// A record of the `claims` stream: entries that were committed together.
struct claims_record {
  /// Next offset of the writer's index when it composed the record; a retry keeps it. A claim that
  /// lands much later is void, so that a late append cannot win after all copies were forgotten.
  log_offset based_on;
  std::vector<claims_entry> entries;
};

/// JSON text of a record. Keys and outcomes may hold any bytes.
std::string EncodeClaimsRecord(const claims_record& record);
/// Fails on text that is not a record; never throws.
result<claims_record> DecodeClaimsRecord(std::string_view payload);

}  // namespace waxwingwing
