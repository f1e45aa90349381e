#include "simulation/relay_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace waxwingwing {

relay_fleet::relay_fleet(const options& chosen) : options_(chosen), random_(chosen.seed) {
  for (std::size_t domain = 0; domain < options_.domains; ++domain) {
    for (std::size_t i = 0; i < options_.vms_per_domain; ++i) {
      relay_node node;
      node.vm = vm_id("vm-" + std::to_string(vms_.size()));
      node.address = "address";
      node.failure_domain = failure_domain_id("domain-" + std::to_string(domain));
      node.capacity = i < options_.strong ? 0.5 : 0.12;
      parent_selection parents(node.vm, node.failure_domain);
      vms_.push_back(vm{std::move(node), std::move(parents)});
    }
  }
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    if (index > 0) vms_[index].parents.SetController(vms_.front().node);
    const auto phase = std::chrono::duration_cast<duration>(options_.interval * random_.Fraction());
    At(now_ + phase, [this, index] { Tick(index); });
  }
}

backend_server_id relay_fleet::ServerOf(std::size_t index) {
  return backend_server_id("server-" + std::to_string(index));
}

std::size_t relay_fleet::IndexOf(const vm_id& id) const {
  return std::stoul(id.str().substr(id.str().find('-') + 1));
}

void relay_fleet::At(time_point at, std::function<void()> action) {
  events_.push({at, events_added_++, std::move(action)});
}

void relay_fleet::RunFor(duration time) {
  const time_point end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }
  now_ = end;
}

void relay_fleet::Tick(std::size_t index) {
  vm& ticking = vms_[index];
  if (!ticking.alive) return;
  if (now_ < ticking.frozen_until) return At(ticking.frozen_until, [=, this] { Tick(index); });
  if ((now_ - start_) / std::chrono::seconds(1) !=
      (now_ - start_ - options_.interval) / std::chrono::seconds(1)) {
    ticking.most_messages = std::max(ticking.most_messages, ticking.messages);
    ticking.messages = 0;
  }
  ticking.reports.RemoveExpired(now_);
  if (index == 0) {
    Lead(ticking);
  } else {
    Follow(index);
  }
  At(now_ + options_.interval, [=, this] { Tick(index); });
}

void relay_fleet::Lead(vm& controller) {
  controller.relays = AppointRelays(controller.reports.RelayCandidates(),
                                    controller.reports.VmsByDomain(), controller.relays);
  Broadcast(
      0, {controller.reports.Sum({}, true), controller.reports.CountVms(true), controller.relays});
}

void relay_fleet::Follow(std::size_t index) {
  vm& follower = vms_[index];
  const bool has_fed = follower.feed_at >= follower.parent_since;
  const milliseconds limit =
      !has_fed && follower.parent == 0U ? options_.first_controller_feed : options_.silence;
  const bool silent =
      follower.parent && now_ - std::max(follower.feed_at, follower.parent_since) > limit;
  if (silent) follower.parents.Exclude(vms_[*follower.parent].node.vm, now_);
  const auto selected = follower.parents.Select(now_);
  if (!selected) return;
  const std::size_t parent = IndexOf(selected->vm);
  if (follower.parent != parent || silent) {
    // The previous parent notices that the connection has ended.
    const auto previous = follower.parent;
    if (previous) {
      Send(index, *previous, [=, this] { vms_[*previous].reports.Remove(vms_[index].node.vm); });
    }
    follower.parent_since = now_;
    ++parent_changes_;
  }
  follower.parent = parent;
  if (now_ - follower.parent_since < options_.connect_time) return;
  load_report report;
  report.node = follower.node;
  report.vms = follower.reports.CountVms(false);
  const auto elapsed = std::chrono::duration_cast<milliseconds>(now_ - start_).count();
  report.requests =
      follower.reports.Sum({{ServerOf(index), {static_cast<std::uint32_t>(elapsed)}}}, false);
  report.successor = follower.reports.Successor();
  Send(index, parent, [=, this] { vms_[parent].reports.Record(report, now_); });
}

void relay_fleet::Send(std::size_t from, std::size_t to, const std::function<void()>& receive) {
  ++vms_[from].messages;
  const auto delay =
      std::chrono::duration_cast<duration>(options_.longest_delay * random_.Fraction());
  const auto deliver = [=, this] {
    vm& receiver = vms_[to];
    if (!receiver.alive) return;
    if (now_ < receiver.frozen_until) return At(receiver.frozen_until, receive);
    ++receiver.messages;
    receive();
  };
  At(now_ + delay, deliver);
}

void relay_fleet::Broadcast(std::size_t index, const feed& sent) {
  for (const auto& [follower, sequence] : vms_[index].reports.Followers()) {
    const std::size_t to = IndexOf(follower);
    Send(index, to, [=, this] { OnFeed(to, index, sent); });
  }
}

void relay_fleet::OnFeed(std::size_t index, std::size_t from, const feed& received) {
  vm& receiver = vms_[index];
  if (receiver.parent != from) return;
  receiver.feed_at = now_;
  receiver.last_requests = received.requests;
  receiver.stated_vms = received.vms;
  receiver.parents.SetRelays(received.relays);
  Broadcast(index, received);
}

std::vector<duration> relay_fleet::ReportAges(std::size_t vm) const {
  std::vector<duration> ages;
  for (std::size_t index = 1; index < vms_.size(); ++index) {
    if (!vms_[index].alive) continue;
    const auto known = vms_[vm].last_requests.find(ServerOf(index));
    const auto reported = known == vms_[vm].last_requests.end() ? 0U : known->second.running;
    ages.emplace_back(now_ - start_ - milliseconds(reported));
  }
  return ages;
}

void relay_fleet::ResetMessages() {
  for (vm& known : vms_) known.messages = known.most_messages = 0;
}

}  // namespace waxwingwing
