#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// Limits of a `prompt_quarantine`.
struct quarantine_options {
  /// Number of crashes with a part after which it is quarantined.
  std::size_t crash_limit = 3;
  /// The same for a part with which an answer has succeeded before: sound parts that many requests
  /// share are present at every crash.
  std::size_t answered_crash_limit = 5;
  /// Crashes within this time of each other count once: when several servers fail for a common
  /// cause, the parts of the requests at them do not matter.
  milliseconds crash_spacing{200};
  /// How long crashes and answers are remembered.
  milliseconds memory{60000};
  /// How long requests with a quarantined part are refused; afterwards one more crash suffices.
  milliseconds quarantine_time{60000};
  /// Maximum number of parts whose answers are remembered.
  std::size_t max_answered_parts = 16384;
  /// Observations of one server's crash by several VMs are at most this far apart.
  milliseconds observation_spread{1000};
  /// Maximum number of suspected parts, and of crashes of each.
  std::size_t max_suspects = 64;
  std::size_t max_crashes = 8;
};

/// Crash of a server that was about to answer a request.
struct server_crash {
  backend_server_id server;
  time_point at{};
};

/// What some VMs know about a part that servers have crashed on.
struct part_evidence {
  prompt_part_id part;
  /// Crashes of servers that were about to answer a request with the part.
  std::vector<server_crash> crashes;
  /// When an answer to a request with the part last succeeded; empty when none is remembered.
  std::optional<time_point> answered_at;
  std::optional<time_point> quarantined_at;
  /// The latest crash, also if an answer has cleared it since.
  std::optional<time_point> last_crash_at;
};

/// Finds parts of prompts that crash every server that begins to answer a request with them, and
/// says which requests must not be sent for that reason.
///
/// All parts of a request are suspected when its server crashes before the answer has begun; an
/// answer that has begun clears them. Evidence of other VMs is merged, because each sees only some
/// of the crashes. Methods that return parts return those that are quarantined from now on.
class prompt_quarantine {
 public:
  explicit prompt_quarantine(const quarantine_options& options) : options_(options) {}

  /// Records that `server` crashed when it was about to answer requests with these prompts, each
  /// given by its parts.
  std::vector<prompt_part_id> RecordCrash(const backend_server_id& server,
                                          const std::vector<std::vector<prompt_part_id>>& prompts,
                                          time_point now);
  /// Records that the answer to a request with these parts has begun and gone on.
  void RecordAnswer(const std::vector<prompt_part_id>& parts, time_point now);
  /// Adds the evidence of other VMs.
  std::vector<prompt_part_id> Merge(const std::vector<part_evidence>& evidence, time_point now);

  /// When the quarantine of a request with these parts ends; empty when it may be sent.
  std::optional<time_point> QuarantinedUntil(const std::vector<prompt_part_id>& parts,
                                             time_point now) const;
  /// This VM's own observations of suspected parts.
  std::vector<part_evidence> OwnEvidence() const;
  /// The observations of all VMs of suspected parts.
  std::vector<part_evidence> AllEvidence() const;

 private:
  bool IsQuarantined(const part_evidence& evidence, time_point now) const;
  /// Applies a later answer: removes the crashes before it, and the quarantine that rests on them.
  void Clear(part_evidence& evidence) const;
  /// Number of crashes that quarantine the part.
  std::size_t CrashLimit(const part_evidence& evidence) const;
  /// Whether nothing about the part needs to be kept any longer.
  bool IsOutdated(const part_evidence& evidence, time_point now) const;
  /// Whether the evidence of another VM adds to what is known here.
  bool IsRelevant(const part_evidence& reported, time_point now) const;
  /// Quarantines the part when the evidence suffices; returns whether that is new.
  bool Judge(part_evidence& evidence, time_point now) const;
  /// Number of crashes after `since` that are `crash_spacing` apart.
  std::size_t CountCrashes(const part_evidence& evidence, time_point since) const;
  /// Records a crash as evidence, which holds the latest ones only.
  void AddCrash(part_evidence& evidence, const backend_server_id& server, time_point at) const;
  void Prune(time_point now);

  const quarantine_options options_;
  /// Crashes that this VM has observed.
  std::map<prompt_part_id, part_evidence> own_;
  std::map<prompt_part_id, part_evidence> all_;
  /// Last successful answer of this VM to a request with each part.
  std::map<prompt_part_id, time_point> answered_;
};

}  // namespace waxwingwing
