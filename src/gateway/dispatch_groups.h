#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "gateway/dispatch_group.h"

namespace waxwingwing {

/// All model groups and services that requests were made for. Safe for use by several threads.
class dispatch_groups {
 public:
  using selector_factory = std::function<std::unique_ptr<replica_selector>()>;

  dispatch_groups(const snapshot_cell<routing_snapshot>& snapshots, selector_factory factory)
      : snapshots_(snapshots), factory_(std::move(factory)) {}

  /// The group of that name, created at its first use. The name must be configured, since groups
  /// stay until the process ends.
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
