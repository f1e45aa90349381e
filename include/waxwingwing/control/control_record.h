#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Duration of a lease, counted from before the append of its record was sent.
inline constexpr milliseconds kLeaseDuration{6000};

/// A release note that operators published.
struct release_note_record {
  /// JSON text of the note. An invalid note is stored as a record too; its verdict holds the
  /// findings.
  std::string note;

  bool operator==(const release_note_record&) const = default;
};

/// Claims, renews or releases the controller lease of a failure domain.
struct lease_record {
  failure_domain_id failure_domain;
  vm_id vm;
  waxwingwing::incarnation incarnation;
  /// Offset of the domain's latest lease record that the writer knew; none for the first one.
  std::optional<log_offset> based_on;
  /// The holder has stopped and none of its orders can take effect any more; the next claim needs
  /// no wait.
  bool released = false;
  milliseconds duration = kLeaseDuration;

  bool operator==(const lease_record&) const = default;
};

enum class roster_action { kClaim, kRelease };

/// Claims or releases a roster slot of a failure domain.
struct roster_record {
  failure_domain_id failure_domain;
  /// Counted from 0.
  std::uint32_t slot = 0;
  roster_action action = roster_action::kClaim;
  vm_id vm;
  waxwingwing::incarnation incarnation;
  /// `ip:port` at which peers reach the entry VM.
  std::string peer_address;
  /// Offset of the slot's current record; required to claim the slot from, or release it for,
  /// another entry VM.
  std::optional<log_offset> based_on;

  bool operator==(const roster_record&) const = default;
};

using control_record = std::variant<release_note_record, lease_record, roster_record>;

/// JSON text of a record, for the payload of an append.
std::string EncodeControlRecord(const control_record& record);
/// Fails on text that is not a record; never throws.
result<control_record> DecodeControlRecord(std::string_view payload);

}  // namespace waxwingwing
