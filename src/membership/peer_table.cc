#include "waxwingwing/membership/peer_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "waxwingwing/membership/rendezvous.h"

namespace waxwingwing {

peer_table::peer_table(vm_id own_vm, failure_domain_id own_domain)
    : own_vm_(std::move(own_vm)), own_domain_(std::move(own_domain)) {}

void peer_table::UpdateFromVmList(const std::vector<vm_entry>& vms) {
  std::set<vm_id> listed;
  for (const vm_entry& vm : vms) {
    if (vm.role != vm_role::kEntry || vm.id == own_vm_) continue;
    listed.insert(vm.id);
    peer& held = peers_[vm.id];
    held.vm = vm.id;
    held.failure_domain = vm.failure_domain;
    held.address = vm.address;
  }
  std::erase_if(peers_, [&](const auto& item) { return !listed.contains(item.first); });
}

bool peer_table::Observe(const peer_status& status, milliseconds age, time_point now) {
  const auto found = peers_.find(status.vm);
  if (found == peers_.end()) return false;
  peer& held = found->second;
  if (held.previous_incarnation == status.incarnation) return false;
  const time_point received_at = now - age;
  if (held.last_status_at && held.incarnation == status.incarnation) {
    held.last_status_at = std::max(*held.last_status_at, received_at);
    held.control_offset = std::max(held.control_offset, status.control_offset);
    // A process that has begun to drain never goes back, so an older message cannot clear it.
    held.draining = held.draining || status.draining;
    return true;
  }
  if (held.last_status_at) held.previous_incarnation = held.incarnation;
  held.incarnation = status.incarnation;
  held.last_status_at = received_at;
  held.control_offset = status.control_offset;
  held.draining = status.draining;
  return true;
}

const peer_table::peer* peer_table::Find(const vm_id& vm) const {
  const auto found = peers_.find(vm);
  return found == peers_.end() ? nullptr : &found->second;
}

bool peer_table::IsLive(const peer& candidate, time_point now) const {
  return candidate.last_status_at && now - *candidate.last_status_at <= kPeerLifetime;
}

bool peer_table::IsLive(const vm_id& vm, time_point now) const {
  if (vm == own_vm_) return true;
  const peer* found = Find(vm);
  return found != nullptr && IsLive(*found, now);
}

std::vector<vm_id> peer_table::LivePeers(time_point now) const {
  std::vector<vm_id> live;
  for (const auto& [id, candidate] : peers_) {
    if (IsLive(candidate, now)) live.push_back(id);
  }
  return live;
}

std::vector<vm_id> peer_table::LiveBackendPollers(time_point now) const {
  std::vector<vm_id> live{own_vm_};
  std::vector<vm_id> not_draining;
  if (!own_draining_) not_draining.push_back(own_vm_);
  for (const auto& [id, candidate] : peers_) {
    if (candidate.failure_domain != own_domain_ || !IsLive(candidate, now)) continue;
    live.push_back(id);
    if (!candidate.draining) not_draining.push_back(id);
  }
  return not_draining.empty() ? live : not_draining;
}

std::vector<vm_id> peer_table::SelectStatusRecipients(time_point now) const {
  struct candidates {
    std::vector<vm_id> live;
    std::vector<vm_id> listed;
  };
  std::map<failure_domain_id, candidates> by_domain;
  for (const auto& [id, candidate] : peers_) {
    if (candidate.failure_domain == own_domain_) continue;
    candidates& domain = by_domain[candidate.failure_domain];
    domain.listed.push_back(id);
    if (IsLive(candidate, now)) domain.live.push_back(id);
  }
  std::vector<vm_id> recipients;
  for (auto& [domain, members] : by_domain) {
    // With no live peer in a domain, the listed ones are tried. Without this, two domains that
    // start, or come back from a partition, at the same time would each wait for the other's first
    // status.
    auto& pool = members.live.empty() ? members.listed : members.live;
    const auto selected =
        SelectByRendezvous(std::move(pool), own_vm_.str(), kStatusRecipientsPerDomain);
    recipients.insert(recipients.end(), selected.begin(), selected.end());
  }
  return recipients;
}

std::vector<vm_id> peer_table::SelectForwardTargets(const vm_id& origin, const vm_id& sender,
                                                    time_point now) const {
  if (sender != origin) return {};
  const peer* source = Find(origin);
  if (source == nullptr || source->failure_domain == own_domain_) return {};
  std::vector<vm_id> targets;
  for (const auto& [id, candidate] : peers_) {
    if (candidate.failure_domain == own_domain_ && IsLive(candidate, now)) targets.push_back(id);
  }
  return targets;
}

}  // namespace waxwingwing
