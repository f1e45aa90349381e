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
  /// By rank; empty ids stand for members that are not registered.
  std::vector<backend_server_id> members;
  membership_state head_state = membership_state::kJoining;
  /// Whether the members from rank 0 on are registered without a gap.
  bool HasGap() const;
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

  /// Groups by name; a name in two epochs gives the higher one.
  std::map<server_group_id, group_view> Groups() const;

  void SetEvacuated(std::set<failure_domain_id> domains);
  bool IsEvacuated(const failure_domain_id& domain) const { return evacuated_.contains(domain); }
  const std::set<failure_domain_id>& evacuated() const { return evacuated_; }

 private:
  std::map<backend_server_id, entry> entries_;
  std::set<failure_domain_id> evacuated_;
  std::uint64_t change_count_ = 0;
};

}  // namespace waxwingwing
