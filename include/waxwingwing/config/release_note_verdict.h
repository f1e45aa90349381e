#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

enum class object_kind { kFailureDomain, kOrganisation, kModelGroup, kService };

/// Name of the arrays that hold objects of the kind in a release note, such as `model_groups`.
std::string_view ArrayName(object_kind kind);

/// An object that another release note changed after the base revision.
struct release_note_conflict {
  /// JSON path in the refused release note.
  std::string place;
  object_kind kind = object_kind::kFailureDomain;
  std::string id;
  /// Revision that changed the object.
  log_offset revision;

  bool operator==(const release_note_conflict&) const = default;
};

/// Whether a release note took effect, with the findings and conflicts if it did not.
struct release_note_verdict {
  note_id id;
  bool accepted = false;
  /// Offset of the release note on the control stream.
  log_offset revision;
  /// At most `kMaxReportedFindings`, as are the conflicts.
  std::vector<finding> findings;
  std::vector<release_note_conflict> conflicts;

  bool operator==(const release_note_verdict&) const = default;
};

/// Maximum number of entries in each list; limits the memory of the verdict on a hostile note.
inline constexpr std::size_t kMaxReportedFindings = 64;

/// Returns a verdict that refuses the note, with the first `kMaxReportedFindings` findings.
release_note_verdict RefuseReleaseNote(note_id id, log_offset revision,
                                       const finding_list& findings);

nlohmann::json VerdictToJson(const release_note_verdict& verdict);
result<release_note_verdict> VerdictFromJson(const nlohmann::json& value);

}  // namespace waxwingwing
