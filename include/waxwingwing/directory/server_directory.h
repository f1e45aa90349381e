#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// A group as its members' registrations show it.
struct group_view {
  server_group_id id;
  std::uint64_t epoch = 0;
  std::string model;
  /// By rank. Members that are not registered now are remembered from when they were; empty ids
  /// stand for members that were never seen.
  std::vector<backend_server_id> members;
  /// Empty while the head is not registered in this group.
  std::optional<membership_state> head_state;
};

/// The backend servers that are registered, with those that are to get nothing new.
///
/// Fed by the reader of the platform's list. Removals that happened while the list could not be
/// read are held back, since servers that live are back soon after the list is.
class server_directory {
 public:
  struct entry {
    backend_server server;
    time_point updated_at{};
    /// Until when the server is cold.
    time_point cold_until{};
    /// When a removal that is held back takes effect.
    std::optional<time_point> removal_at;
  };

  /// Applies a registration; false when it is older than the one known.
  bool Update(backend_server server, time_point now);
  /// Removes a server, at once or, for a list that was away, after `delay`.
  void Remove(const backend_server_id& id, time_point now, duration delay);
  /// Removes servers that are not in `listed`, as `Remove`.
  void RemoveAllBut(const std::set<backend_server_id>& listed, time_point now, duration delay);
  /// Applies removals that are due; returns what was removed.
  std::vector<backend_server_id> ApplyDueRemovals(time_point now);

  bool HasPendingRemovals() const;

  const entry* Find(const backend_server_id& id) const;
  const std::map<backend_server_id, entry>& entries() const { return entries_; }
  /// Changes with each change that matters to routing or planning.
  std::uint64_t change_count() const { return change_count_; }

  /// Groups with a registered member, by name; a name in two epochs gives the higher one.
  std::map<server_group_id, group_view> Groups() const;
  /// The last registered address of a server that may have lapsed; empty when it was never seen.
  std::string LastAddressOf(const backend_server_id& id) const;

  void SetEvacuated(std::set<failure_domain_id> domains);
  bool IsEvacuated(const failure_domain_id& domain) const { return evacuated_.contains(domain); }
  const std::set<failure_domain_id>& evacuated() const { return evacuated_; }

 private:
  /// The members of a group as they were seen, also those that lapsed since.
  struct remembered_group {
    std::uint64_t epoch = 0;
    std::map<std::uint32_t, backend_server_id> members;
    time_point seen_at{};
  };

  void Remember(const backend_server& server, time_point now);
  void Forget(time_point now);

  std::map<backend_server_id, entry> entries_;
  std::map<server_group_id, remembered_group> remembered_;
  std::map<backend_server_id, std::string> last_addresses_;
  std::set<failure_domain_id> evacuated_;
  std::uint64_t change_count_ = 0;
};

}  // namespace waxwingwing
