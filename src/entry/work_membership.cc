#include "entry/work_membership.h"

#include <algorithm>
#include <utility>

#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Part of the interval between two renewals for each member.
constexpr milliseconds kIntervalPerMember{8};
constexpr milliseconds kMinRenewInterval{500};
constexpr milliseconds kMaxRenewInterval{4000};
/// A member that is silent for this many intervals, and a call's time-out, loses its partitions.
constexpr double kIntervalsPerLifetime = 2;
constexpr milliseconds kLifetimeMargin{700};
constexpr milliseconds kRetryPause{150};
constexpr milliseconds kLongestRetryPause{600};

}  // namespace

work_membership::work_membership(entry_context& entry, store_client& store, std::string member,
                                 std::function<void()> on_answer)
    : entry_(entry),
      store_(store),
      member_(std::move(member)),
      on_answer_(std::move(on_answer)),
      health_(entry, "membership") {}

milliseconds work_membership::RenewInterval() const {
  const auto members = static_cast<milliseconds::rep>(entry_.state.vms);
  return std::clamp(kIntervalPerMember * members, kMinRenewInterval, kMaxRenewInterval);
}

milliseconds work_membership::Lifetime() const {
  const auto lifetime =
      std::chrono::duration_cast<milliseconds>(RenewInterval() * kIntervalsPerLifetime);
  return std::max(lifetime + kLifetimeMargin, entry_.settings.min_member_lifetime);
}

awaitable<void> work_membership::Run() {
  milliseconds retry_pause = kRetryPause;
  while (!entry_.state.stopping) {
    const time_point sent_at = entry_.clock.Now();
    const milliseconds lifetime = Lifetime();
    // Generations are counted anew in each era of the store.
    const std::uint64_t generation = era_ == store_.era() ? generation_ : 0;
    const auto view = co_await store_.KeepMembership(member_, generation, lifetime);
    if (entry_.state.stopping) co_return;
    if (view) {
      health_.Succeeded();
      Apply(*view, sent_at);
      confirmed_until_ = sent_at + lifetime;
    } else {
      health_.Failed(view.reason());
    }
    on_answer_();
    co_await Pause(entry_.context, view ? RenewInterval() : retry_pause);
    retry_pause = view ? kRetryPause : std::min(retry_pause * 2, kLongestRetryPause);
  }
}

void work_membership::Apply(const member_view& view, time_point sent_at) {
  // After a restore another VM may hold a partition until the lifetime of its last renewal ends.
  time_point held_since = sent_at;
  if (era_ && view.era != *era_) {
    held_since_.clear();
    held_since += Lifetime() - RenewInterval();
  }
  era_ = view.era;
  generation_ = view.generation;
  partitions_ = view.partition_assignment;
  std::erase_if(held_since_,
                [&](const auto& item) { return !partitions_.held.contains(item.first); });
  for (const std::size_t partition : partitions_.held) {
    held_since_.try_emplace(partition, held_since);
  }
}

work_partitions work_membership::ConfirmedPartitions() const {
  const time_point now = entry_.clock.Now();
  work_partitions confirmed{{}, partitions_.all};
  if (!confirmed_until_ || now > *confirmed_until_) return confirmed;
  for (const auto& [partition, since] : held_since_) {
    if (now >= since + RenewInterval()) confirmed.held.insert(partition);
  }
  return confirmed;
}

awaitable<void> work_membership::Leave() {
  const auto left = co_await store_.EndMembership(member_);
  entry_.log.Write("membership_ended", {{"done", left && *left}});
}

}  // namespace waxwingwing
