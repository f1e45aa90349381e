#include "entry/controller_election.h"

#include <algorithm>
#include <utility>

#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// A member that is silent for this time loses its partitions; two renewals in a row may be lost.
constexpr milliseconds kMemberLifetime{1200};
constexpr milliseconds kRenewInterval{350};
constexpr milliseconds kRetryPause{120};
/// After an outage, the store reassigns partitions for each member that rejoins. All members should
/// rejoin at about the same time, because otherwise the controller changes several times.
constexpr milliseconds kLongestRetryPause{240};
/// Time for which an answer is trusted, counted from when the request was sent.
constexpr milliseconds kTrustTime{900};
/// Time a new holder waits before it acts: the trust time of the previous holder plus the transit
/// time of its last order.
constexpr milliseconds kTakeoverWait{1100};

}  // namespace

controller_election::controller_election(entry_context& entry, store_client& store,
                                         std::string member, std::function<void()> on_answer)
    : entry_(entry),
      store_(store),
      member_(std::move(member)),
      on_answer_(std::move(on_answer)),
      health_(entry, "membership") {}

awaitable<void> controller_election::Run() {
  milliseconds retry_pause = kRetryPause;
  while (!entry_.state.stopping) {
    const time_point sent_at = entry_.clock.Now();
    const auto view = co_await store_.KeepMembership(
        member_, generation_, std::max(kMemberLifetime, entry_.settings.min_member_lifetime));
    if (entry_.state.stopping) co_return;
    if (view) {
      health_.Succeeded();
      Apply(*view, sent_at);
    } else {
      health_.Failed(view.reason());
    }
    on_answer_();
    co_await Pause(entry_.context, view ? kRenewInterval : retry_pause);
    retry_pause = view ? kRetryPause : std::min(retry_pause * 2, kLongestRetryPause);
  }
}

void controller_election::Apply(const member_view& view, time_point sent_at) {
  generation_ = view.generation;
  partition_assignment_ = view.partition_assignment;
  assignment_confirmed_at_ = sent_at;
  if (!view.HoldsControllerRole()) {
    if (held_since_) entry_.log.Write("controller_lost", {{"generation", generation_}});
    held_since_.reset();
    trusted_until_.reset();
    return;
  }
  const bool expired = !trusted_until_ || sent_at > *trusted_until_;
  if (!held_since_ || expired) {
    held_since_ = entry_.clock.Now();
    entry_.log.Write("controller_gained",
                     {{"generation", generation_}, {"acts_after_ms", duration(kTakeoverWait)}});
  }
  trusted_until_ = sent_at + kTrustTime;
}

work_partitions controller_election::ConfirmedAssignment() const {
  const bool expired =
      !assignment_confirmed_at_ || entry_.clock.Now() - *assignment_confirmed_at_ > kMemberLifetime;
  return {expired ? std::set<std::size_t>() : partition_assignment_.held,
          partition_assignment_.all};
}

bool controller_election::IsController() const {
  const time_point now = entry_.clock.Now();
  if (!held_since_ || !trusted_until_ || now > *trusted_until_) return false;
  return now - *held_since_ >= kTakeoverWait;
}

awaitable<void> controller_election::Leave() {
  held_since_.reset();
  trusted_until_.reset();
  const auto left = co_await store_.EndMembership(member_);
  entry_.log.Write("membership_ended", {{"done", left && *left}});
}

}  // namespace waxwingwing
