#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/config/release_note.h"
#include "waxwingwing/config/release_note_verdict.h"

namespace waxwingwing {

/// Configuration after a prefix of the control stream, with what is needed to decide on the next
/// release note.
struct configuration_state {
  using object_name = std::pair<object_kind, std::string>;

  configuration objects;
  /// Revisions that withdrew objects, so that a concurrent change of a withdrawn object is reported
  /// as a conflict. Holds the newest `kMaxWithdrawn`.
  std::map<object_name, log_offset> withdrawn;

  bool operator==(const configuration_state&) const = default;
};

inline constexpr std::size_t kMaxWithdrawn = 4096;

/// Applies the release note at `offset` of the control stream. A refused note changes nothing. A
/// pure function of its arguments.
release_note_verdict ApplyReleaseNote(const release_note& note, log_offset offset,
                                      configuration_state& state);

}  // namespace waxwingwing
