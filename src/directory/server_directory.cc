#include "waxwingwing/directory/server_directory.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

/// How long groups without a registered member are remembered; partitions last some seconds.
constexpr std::chrono::seconds kRetentionTime{60};
/// Number of remembered groups above which expired ones are removed.
constexpr std::size_t kPruneThreshold = 256;

/// Whether two registrations lead to the same routing and planning decisions.
bool HaveSameEffect(const backend_server& left, const backend_server& right) {
  return left.service == right.service && left.address == right.address &&
         left.failure_domain == right.failure_domain && left.born == right.born &&
         left.draining == right.draining && left.model == right.model &&
         left.staged == right.staged && left.membership == right.membership &&
         (left.cold_left.count() > 0) == (right.cold_left.count() > 0);
}

}  // namespace

bool server_directory::IsOutdated(const backend_server& server) const {
  const auto found = removed_.find(server.id);
  if (found == removed_.end()) return false;
  const removed_server& removed = found->second;
  return server.born < removed.born ||
         (server.born == removed.born && server.revision <= removed.revision);
}

bool server_directory::Update(backend_server server, time_point now) {
  if (IsOutdated(server)) return false;
  removed_.erase(server.id);
  const auto known = entries_.find(server.id);
  if (known != entries_.end()) {
    const backend_server& old = known->second.server;
    if (server.born < old.born) return false;
    if (server.born == old.born && server.revision < old.revision) return false;
  }
  // The return of a server whose removal was pending counts as a change, because others may have
  // removed it already.
  const bool returns = known != entries_.end() && known->second.removal_at.has_value();
  if (known == entries_.end() || returns || !HaveSameEffect(known->second.server, server)) {
    ++change_count_;
  }
  entry& target = entries_[server.id];
  target.updated_at = now;
  target.cold_until = now + server.cold_left;
  target.removal_at.reset();
  target.server = std::move(server);
  Remember(target.server, now);
  return true;
}

void server_directory::Remember(const backend_server& server, time_point now) {
  last_addresses_[server.id] = server.address;
  if (!server.membership) return;
  remembered_group& group = remembered_[server.membership->group];
  if (server.membership->epoch < group.epoch) return;
  if (server.membership->epoch > group.epoch) group.members.clear();
  group.epoch = server.membership->epoch;
  group.members[server.membership->rank] = server.id;
  group.seen_at = now;
  if (remembered_.size() > kPruneThreshold) PruneRemembered(now);
}

void server_directory::PruneRemembered(time_point now) {
  std::set<backend_server_id> members;
  std::erase_if(remembered_,
                [&](const auto& item) { return now - item.second.seen_at > kRetentionTime; });
  for (const auto& [id, group] : remembered_) {
    for (const auto& [rank, member] : group.members) members.insert(member);
  }
  std::erase_if(last_addresses_, [&](const auto& item) {
    return !members.contains(item.first) && !entries_.contains(item.first);
  });
}

std::string server_directory::LastAddressOf(const backend_server_id& id) const {
  const auto found = last_addresses_.find(id);
  return found == last_addresses_.end() ? std::string() : found->second;
}

void server_directory::Remove(const backend_server_id& id, time_point now, duration delay) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.removal_at) return;
  found->second.removal_at = now + delay;
}

std::vector<backend_server_id> server_directory::RemoveUnlisted(
    const std::set<backend_server_id>& listed, time_point now, duration delay) {
  std::vector<backend_server_id> unlisted;
  for (const auto& [id, known] : entries_) {
    if (!listed.contains(id)) unlisted.push_back(id);
  }
  for (const backend_server_id& id : unlisted) Remove(id, now, delay);
  return unlisted;
}

std::vector<backend_server_id> server_directory::ApplyDueRemovals(time_point now) {
  std::vector<backend_server_id> removed;
  for (const auto& [id, known] : entries_) {
    if (known.removal_at && *known.removal_at <= now) removed.push_back(id);
  }
  std::erase_if(removed_,
                [&](const auto& item) { return now - item.second.removed_at > kRetentionTime; });
  for (const backend_server_id& id : removed) {
    const backend_server& server = entries_.at(id).server;
    removed_[id] = {server.born, server.revision, now};
    entries_.erase(id);
  }
  if (!removed.empty()) ++change_count_;
  return removed;
}

bool server_directory::HasPendingRemovals() const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& item) { return item.second.removal_at.has_value(); });
}

const server_directory::entry* server_directory::Find(const backend_server_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::map<server_group_id, group_view> server_directory::Groups() const {
  std::map<server_group_id, group_view> groups;
  for (const auto& [id, known] : entries_) {
    const auto& membership = known.server.membership;
    if (!membership) continue;
    group_view& group = groups[membership->group];
    if (membership->epoch < group.epoch) continue;
    if (membership->epoch > group.epoch) group = group_view{};
    group.id = membership->group;
    group.epoch = membership->epoch;
    if (group.members.size() <= membership->rank) group.members.resize(membership->rank + 1);
    group.members[membership->rank] = id;
    if (!known.server.model.empty()) group.model = known.server.model;
    if (membership->rank == 0) group.head_state = membership->state;
  }
  for (auto& [id, group] : groups) {
    const auto remembered = remembered_.find(id);
    if (remembered == remembered_.end() || remembered->second.epoch != group.epoch) continue;
    for (const auto& [rank, member] : remembered->second.members) {
      if (group.members.size() <= rank) group.members.resize(rank + 1);
      if (group.members[rank].empty()) group.members[rank] = member;
    }
  }
  return groups;
}

void server_directory::SetEvacuated(std::set<failure_domain_id> domains) {
  if (domains == evacuated_) return;
  evacuated_ = std::move(domains);
  ++change_count_;
}

}  // namespace waxwingwing
