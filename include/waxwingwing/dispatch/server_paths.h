#pragma once

#include <cstddef>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Time limits and numbers of a `server_paths`.
struct server_paths_options {
  /// Age up to which an answer shows that failures seen now are not those of the paths.
  milliseconds contact_lifetime{150};
  /// Silence of all servers after which the paths are in doubt, while requests wait at several
  /// servers, and while they wait at fewer: one server alone may take as long for its first event.
  milliseconds silence{300};
  milliseconds lone_silence{1000};
  /// Number of servers that count as several.
  std::size_t several = 3;
  /// Time after a round of probes with an answer for which silence alone raises no other doubt.
  milliseconds silence_pause{3000};
  /// Rounds of probes without an answer after which the paths are lost, and with one after which
  /// they are back.
  int rounds_to_lose = 2;
  int rounds_to_regain = 2;
  /// Interval of the rounds while the paths are lost.
  milliseconds lost_interval{250};
};

/// Decides whether this VM has lost its network paths to all backend servers.
///
/// A server that does not answer may have failed; when no server at all answers, probes to several
/// of them included, it is the VM that is cut off. Any byte of any server shows that it is not.
/// What was seen of servers while the paths are in doubt must not count against them.
class server_paths {
 public:
  enum class state { kConnected, kInDoubt, kLost };

  explicit server_paths(const server_paths_options& options = {}) : options_(options) {}

  /// Records that a byte arrived from a server, other than the answer to a probe.
  void RecordContact(time_point now);
  /// Records that a connection to a server failed or broke.
  void RecordFailure(time_point now);
  /// Records that requests have been waiting for these many servers since `since` or earlier.
  void RecordWait(std::size_t servers, time_point since, time_point now);
  /// Silence, while requests wait for these many servers, that raises a doubt.
  milliseconds SilenceLimit(std::size_t servers) const;
  /// Records the end of a round of probes to several servers, which began at `began_at`.
  void RecordRound(bool is_answered, time_point began_at, time_point now);

  state current() const { return state_; }
  bool IsLost() const { return state_ == state::kLost; }
  bool HasRecentContact(time_point now) const {
    return contact_at_ && now - *contact_at_ <= options_.contact_lifetime;
  }
  /// When the next round of probes is due; nothing while the paths are not in doubt.
  std::optional<time_point> NextRoundAt() const;

 private:
  void SetConnected();

  const server_paths_options options_;
  state state_ = state::kConnected;
  std::optional<time_point> contact_at_;
  std::optional<time_point> answered_round_at_;
  /// When the last round ended since the doubt began.
  std::optional<time_point> round_at_;
  /// Rounds in succession that were not answered while in doubt, or were answered while lost.
  int rounds_ = 0;
};

}  // namespace waxwingwing
