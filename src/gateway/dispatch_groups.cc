#include "gateway/dispatch_groups.h"

#include <vector>

namespace waxwingwing {

std::shared_ptr<dispatch_group> dispatch_groups::Find(dispatch_group::kind type,
                                                      const std::string& name) {
  const std::lock_guard lock(mutex_);
  auto& group = groups_[{type, name}];
  if (group == nullptr) {
    group = std::make_shared<dispatch_group>(type, name, snapshots_, factory_());
  }
  return group;
}

void dispatch_groups::DispatchAll(time_point now) {
  std::vector<std::shared_ptr<dispatch_group>> all;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, group] : groups_) all.push_back(group);
  }
  for (const auto& group : all) group->queue().Dispatch(now);
}

}  // namespace waxwingwing
