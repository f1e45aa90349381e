#include "entry/controller_election.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

/// How long a VM with one core and a link of 100 Mbit/s lets others claim the lease first. Slower
/// ones wait longer in proportion.
constexpr std::chrono::duration<double, std::milli> kClaimDelay{100};
constexpr double kReferenceLinkMbps = 100;
constexpr milliseconds kMinClaimDelay{50};
constexpr milliseconds kMaxClaimDelay{1000};
/// Random part of the delay, as a fraction of it; spreads the claims of equal VMs.
constexpr double kClaimSpread = 0.25;

/// Interval at which a VM that does not reach the servers looks whether it does again.
constexpr milliseconds kCutOffPause{100};

duration ClaimDelay(const entry_settings& settings, random_source& random) {
  const double processor = std::max(settings.processor, 0.01);
  const double link = std::max(settings.link_mbps, 1.0) / kReferenceLinkMbps;
  const auto usual = std::clamp<duration>(
      std::chrono::duration_cast<duration>(kClaimDelay / std::min(processor, link)), kMinClaimDelay,
      kMaxClaimDelay);
  return std::chrono::duration_cast<duration>(usual * (1 + kClaimSpread * random.Fraction()));
}

}  // namespace

controller_election::controller_election(entry_context& entry, store_client& store,
                                         std::string self, random_source random)
    : entry_(entry),
      store_(store),
      lease_(std::move(self), ClaimDelay(entry.settings, random), entry.clock.Now()),
      pause_(entry.context),
      health_(entry, "controller_lease") {}

awaitable<void> controller_election::Run() {
  while (!entry_.state.stopping) {
    if (entry_.state.is_cut_off) {
      // Another VM can give orders to the servers, and this one has to learn which one does.
      if (lease_.IsHolder()) {
        co_await Release();
      } else if (lease_.Next(entry_.clock.Now()) != lease_step::kWait) {
        co_await Read();
      }
      co_await pause_.Wait(kCutOffPause);
      continue;
    }
    const time_point now = entry_.clock.Now();
    const lease_step step = lease_.Next(now);
    if (step == lease_step::kRead) {
      co_await Read();
    } else if (step == lease_step::kAppend) {
      co_await Append();
    } else {
      co_await pause_.Wait(lease_.NextAt(now) - now);
    }
  }
}

awaitable<void> controller_election::Read() {
  const bool was_holder = lease_.IsHolder();
  const auto record = co_await store_.ReadLease();
  const time_point now = entry_.clock.Now();
  if (!record) {
    health_.Failed(record.reason());
    lease_.RecordFailure(now);
    co_return;
  }
  health_.Succeeded();
  lease_.Observe(*record, now);
  LogChange(was_holder);
}

awaitable<void> controller_election::Append() {
  const bool was_holder = lease_.IsHolder();
  const time_point sent_at = entry_.clock.Now();
  const store_position based_on = lease_.record().position();
  const auto outcome = co_await store_.AppendLease(lease_.self(), based_on.offset);
  const time_point now = entry_.clock.Now();
  if (!outcome) {
    health_.Failed(outcome.reason());
    lease_.RecordFailure(now);
    co_return;
  }
  health_.Succeeded();
  // Another VM may have told of a later record meanwhile.
  if (outcome->appended && lease_.record().position() == based_on) {
    lease_.RecordAppended(outcome->end, outcome->era, sent_at, now);
  } else {
    lease_.RecordConflict();
  }
  LogChange(was_holder);
}

void controller_election::Observe(const lease_record& record) {
  const bool was_holder = lease_.IsHolder();
  lease_.Observe(record, entry_.clock.Now());
  LogChange(was_holder);
}

void controller_election::LogChange(bool was_holder) {
  if (was_holder == lease_.IsHolder()) return;
  entry_.log.Write(was_holder ? "controller_lost" : "controller_gained",
                   {{"term", lease_.term()},
                    {"holder", lease_.record().holder},
                    {"offset", lease_.record().end},
                    {"era", lease_.record().era.get()}});
}

awaitable<void> controller_election::Leave() {
  const bool was_holder = HoldsControllerRole();
  left_ = true;
  pause_.Wake();
  if (was_holder) co_await Release();
}

awaitable<void> controller_election::Release() {
  const auto released = co_await store_.AppendLease(std::string(), lease_.record().end);
  const bool done = released && released->appended && released->era == lease_.record().era;
  if (done) lease_.Observe({std::string(), released->end, released->era}, entry_.clock.Now());
  entry_.log.Write("controller_left", {{"released", done}, {"cut_off", entry_.state.is_cut_off}});
  if (done && on_release_) on_release_();
}

}  // namespace waxwingwing
