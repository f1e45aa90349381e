#include "simulation/lease_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace waxwingwing {
namespace {

constexpr milliseconds kCallTimeout{300};
constexpr milliseconds kLongestDelayOfAppend{3000};

}  // namespace

lease_fleet::lease_fleet(const options& chosen) : options_(chosen), random_(chosen.seed) {
  for (std::size_t index = 0; index < options_.vms; ++index) {
    vms_.emplace_back();
    const auto starts_at = now_ + options_.start_spread * random_.Fraction();
    At(std::chrono::time_point_cast<duration>(starts_at), [this, index] {
      const bool strong =
          static_cast<double>(index) < static_cast<double>(options_.vms) * options_.strong;
      const milliseconds delay = strong ? options_.strong_delay : options_.weak_delay;
      const auto spread = std::chrono::duration_cast<duration>(delay * random_.Fraction() * 0.25);
      vms_[index].lease =
          std::make_unique<controller_lease>("vm-" + std::to_string(index), delay + spread, now_);
      Step(index);
    });
  }
  At(now_, [this] { Feed(); });
}

void lease_fleet::Restore() {
  const store_era era = stored_.era.Next();
  stored_ = copy_;
  stored_.era = era;
}

void lease_fleet::Join() {
  const std::size_t index = vms_.size();
  vms_.emplace_back();
  vms_[index].lease =
      std::make_unique<controller_lease>("vm-" + std::to_string(index), options_.weak_delay, now_);
  Step(index);
}

void lease_fleet::At(time_point at, std::function<void()> action) {
  events_.push({at, events_added_++, std::move(action)});
}

void lease_fleet::RunUntil(time_point end) {
  while (!events_.empty() && events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
    Observe();
  }
  now_ = end;
}

void lease_fleet::Step(std::size_t index) {
  vm& stepping = vms_[index];
  if (!stepping.alive) return;
  if (now_ < stepping.frozen_until) return At(stepping.frozen_until, [=, this] { Step(index); });
  const lease_step step = stepping.calling ? lease_step::kWait : stepping.lease->Next(now_);
  if (step == lease_step::kWait) {
    // A wait that ends at once would never let time pass.
    const time_point next = std::max(stepping.lease->NextAt(now_), now_ + milliseconds(1));
    if (!stepping.calling) At(next, [=, this] { Step(index); });
    return;
  }
  Call(index, step);
}

void lease_fleet::Deliver(std::size_t index, const std::function<void(controller_lease&)>& action) {
  vm& receiver = vms_[index];
  if (!receiver.alive) return;
  if (now_ < receiver.frozen_until) {
    return At(receiver.frozen_until, [=, this] { Deliver(index, action); });
  }
  action(*receiver.lease);
  receiver.calling = false;
  Step(index);
}

void lease_fleet::Call(std::size_t index, lease_step step) {
  vm& caller = vms_[index];
  caller.calling = true;
  ++calls_;
  const time_point sent_at = now_;
  if (now_ < caller.cut_until) {
    return At(now_ + kCallTimeout, [=, this] {
      Deliver(index, [this](controller_lease& lease) { lease.RecordFailure(now_); });
    });
  }
  const std::uint64_t at = caller.lease->record().end;
  At(now_ + options_.store_latency / 2, [=, this] {
    if (step == lease_step::kAppend) return Append(index, at, sent_at);
    const lease_record record = stored_;
    At(now_ + options_.store_latency / 2, [=, this] {
      Deliver(index, [=, this](controller_lease& lease) { lease.Observe(record, now_); });
    });
  });
}

void lease_fleet::Append(std::size_t index, std::uint64_t at, time_point sent_at) {
  const std::string holder = vms_[index].lease->self();
  const auto apply = [=, this] {
    if (stored_.end != at) return false;
    stored_ = {holder, at + 1, stored_.era};
    return true;
  };
  const bool late = random_.Fraction() < options_.applied_late;
  const bool lost = late || random_.Fraction() < options_.lost_answers;
  if (late) {
    const auto delay =
        std::chrono::duration_cast<duration>(kLongestDelayOfAppend * random_.Fraction());
    At(now_ + delay, [apply] { apply(); });
  }
  const bool applied = !late && apply();
  const std::uint64_t end = stored_.end;
  const store_era era = stored_.era;
  const duration delay = lost ? duration(kCallTimeout) : options_.store_latency / 2;
  At(now_ + delay, [=, this] {
    Deliver(index, [=, this](controller_lease& lease) {
      if (lost) {
        lease.RecordFailure(now_);
      } else if (applied) {
        lease.RecordAppended(end, era, sent_at, now_);
      } else {
        lease.RecordConflict();
      }
    });
  });
}

void lease_fleet::Feed() {
  for (vm& sender : vms_) {
    const bool sends =
        sender.lease && sender.alive && now_ >= sender.frozen_until && sender.lease->IsHolder();
    if (!sends) continue;
    const lease_record record = sender.lease->record();
    for (std::size_t index = 0; index < vms_.size(); ++index) {
      vm& receiver = vms_[index];
      if (&receiver == &sender || !receiver.lease || !receiver.alive) continue;
      if (now_ < receiver.frozen_until || receiver.lease->IsHolder()) continue;
      if (record.position() >= receiver.lease->record().position()) {
        receiver.lease->Observe(record, now_);
      }
    }
  }
  At(now_ + options_.feed_interval, [this] { Feed(); });
}

std::size_t lease_fleet::Acting() const {
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    const vm& known = vms_[index];
    if (known.lease && known.alive && now_ >= known.frozen_until && known.lease->MayAct(now_)) {
      return index;
    }
  }
  return vms_.size();
}

void lease_fleet::Observe() {
  std::size_t acting = 0;
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    const vm& known = vms_[index];
    const bool acts = known.lease && known.alive && now_ >= known.frozen_until &&
                      known.lease->IsHolder() && known.lease->MayAct(now_);
    if (!acts) continue;
    ++acting;
    if (index == last_acting_) continue;
    last_acting_ = index;
    ++controllers_;
    terms_.push_back(known.lease->term());
  }
  most_acting_ = std::max(most_acting_, acting);
}

}  // namespace waxwingwing
