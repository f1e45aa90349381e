#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "gateway/dispatch_group.h"

namespace waxwingwing {

/// Dispatch groups of all model groups and services that have received requests. Thread-safe.
class dispatch_groups {
 public:
  using selector_factory = std::function<std::unique_ptr<replica_selector>()>;

  dispatch_groups(const snapshot_cell<routing_snapshot>& snapshots, selector_factory factory)
      : snapshots_(snapshots), factory_(std::move(factory)) {}

  /// Returns the group of that name and creates it at its first use. Pass configured names only:
  /// groups are never removed, so unchecked names would grow the map without limit.
  std::shared_ptr<dispatch_group> Find(dispatch_group::kind type, const std::string& name);
  /// Tries to place waiting requests of all groups.
  void DispatchAll(time_point now);

 private:
  const snapshot_cell<routing_snapshot>& snapshots_;
  selector_factory factory_;
  std::mutex mutex_;
  std::map<std::pair<dispatch_group::kind, std::string>, std::shared_ptr<dispatch_group>> groups_;
};

}  // namespace waxwingwing
