#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "waxwingwing/config/release_note.h"
#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// Largest release note, in bytes.
inline constexpr std::size_t kMaxReleaseNoteBytes = std::size_t{1} << 20U;

/// A release note, or the findings that make it invalid.
struct parsed_release_note {
  /// Set exactly when there are no findings.
  std::optional<release_note> note;
  /// Id of the note; also set for an invalid note when its id could be read.
  note_id id;
  finding_list findings;
};

/// Parses the JSON text of a release note and performs every check that does not depend on the
/// configuration.
parsed_release_note ParseReleaseNote(std::string_view text);

}  // namespace waxwingwing
