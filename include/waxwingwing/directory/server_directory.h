#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// A group of backend servers, assembled from the registrations of its members.
struct group_view {
  server_group_id id;
  std::uint64_t epoch = 0;
  std::string model;
  /// Members ordered by rank, including those whose registration has lapsed since. Ids of members
  /// that were never registered are empty.
  std::vector<backend_server_id> members;
  /// State of the head; empty while the head is not registered in this group.
  std::optional<membership_state> head_state;
};

/// The registered backend servers, and the failure domains that are evacuated and get no new
/// requests.
///
/// Updated by the reader of the platform's VM list. Removals that are found after the list could
/// not be read are delayed, because running servers register again soon after the list is
/// available.
class server_directory {
 public:
  /// A registered server.
  struct entry {
    backend_server server;
    time_point updated_at{};
    /// End of the time for which the server is cold.
    time_point cold_until{};
    /// When a delayed removal takes effect; empty when none is pending.
    std::optional<time_point> removal_at;
  };

  /// Applies a registration; returns false when it is older than the known one, or than the last
  /// one of a server that was removed: a restored list may hold those again.
  bool Update(backend_server server, time_point now);
  /// Schedules the removal of a server after `delay`, which is zero unless the list was
  /// unavailable.
  void Remove(const backend_server_id& id, time_point now, duration delay);
  /// Schedules the removal of all servers that are not in `listed`, each as `Remove` does, and
  /// returns them.
  std::vector<backend_server_id> RemoveUnlisted(const std::set<backend_server_id>& listed,
                                                time_point now, duration delay);
  /// Applies the removals that are due and returns the removed servers.
  std::vector<backend_server_id> ApplyDueRemovals(time_point now);

  bool HasPendingRemovals() const;

  const entry* Find(const backend_server_id& id) const;
  const std::map<backend_server_id, entry>& entries() const { return entries_; }
  /// Incremented with each change that is relevant to routing or planning.
  std::uint64_t change_count() const { return change_count_; }

  /// Groups that have a registered member, by name; of a name in two epochs only the higher epoch.
  std::map<server_group_id, group_view> Groups() const;
  /// The last registered address of a server, even if its registration has lapsed; empty when the
  /// server was never registered.
  std::string LastAddressOf(const backend_server_id& id) const;

  /// Sets the failure domains whose servers get no new requests.
  void SetEvacuated(std::set<failure_domain_id> domains);
  bool IsEvacuated(const failure_domain_id& domain) const { return evacuated_.contains(domain); }
  const std::set<failure_domain_id>& evacuated() const { return evacuated_; }

 private:
  /// Members of a group, including those whose registration has lapsed since.
  struct remembered_group {
    std::uint64_t epoch = 0;
    std::map<std::uint32_t, backend_server_id> members;
    time_point seen_at{};
  };

  /// The last registration of a server that was removed.
  struct removed_server {
    std::uint64_t born = 0;
    std::uint64_t revision = 0;
    time_point removed_at{};
  };

  /// Whether the registration is not newer than the last one of a removed server.
  bool IsOutdated(const backend_server& server) const;
  void Remember(const backend_server& server, time_point now);
  void PruneRemembered(time_point now);

  std::map<backend_server_id, entry> entries_;
  std::map<server_group_id, remembered_group> remembered_;
  std::map<backend_server_id, std::string> last_addresses_;
  std::map<backend_server_id, removed_server> removed_;
  std::set<failure_domain_id> evacuated_;
  std::uint64_t change_count_ = 0;
};

}  // namespace waxwingwing
