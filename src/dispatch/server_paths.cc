#include "waxwingwing/dispatch/server_paths.h"

#include <algorithm>

namespace waxwingwing {

void server_paths::SetConnected() {
  state_ = state::kConnected;
  rounds_ = 0;
  round_at_.reset();
}

void server_paths::RecordContact(time_point now) {
  contact_at_ = now;
  // Connections that live on do not show that new ones can be made.
  if (state_ == state::kInDoubt) SetConnected();
}

void server_paths::RecordFailure(time_point now) {
  if (state_ == state::kConnected && !HasRecentContact(now)) state_ = state::kInDoubt;
}

milliseconds server_paths::SilenceLimit(std::size_t servers) const {
  return servers >= options_.several ? options_.silence : options_.lone_silence;
}

void server_paths::RecordWait(std::size_t servers, time_point since, time_point now) {
  if (state_ != state::kConnected) return;
  const duration silence = now - std::max(since, contact_at_.value_or(since));
  const bool is_silent = silence >= SilenceLimit(servers);
  const bool is_checked = answered_round_at_ && now - *answered_round_at_ < options_.silence_pause;
  if (is_silent && !is_checked) state_ = state::kInDoubt;
}

void server_paths::RecordRound(bool is_answered, time_point began_at, time_point now) {
  if (is_answered) answered_round_at_ = now;
  if (state_ == state::kConnected) return;
  round_at_ = now;
  if (state_ == state::kInDoubt) {
    if (is_answered || (contact_at_ && *contact_at_ >= began_at)) return SetConnected();
    if (++rounds_ < options_.rounds_to_lose) return;
    state_ = state::kLost;
    rounds_ = 0;
    return;
  }
  rounds_ = is_answered ? rounds_ + 1 : 0;
  if (rounds_ >= options_.rounds_to_regain) SetConnected();
}

std::optional<time_point> server_paths::NextRoundAt() const {
  if (state_ == state::kConnected) return std::nullopt;
  if (!round_at_ || state_ == state::kInDoubt) return round_at_.value_or(time_point());
  return *round_at_ + options_.lost_interval;
}

}  // namespace waxwingwing
