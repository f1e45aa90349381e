#include "waxwingwing/relay/relay_tree.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

bool Contains(const std::vector<relay_node>& nodes, const vm_id& vm) {
  return std::any_of(nodes.begin(), nodes.end(),
                     [&](const relay_node& node) { return node.vm == vm; });
}

}  // namespace

std::vector<relay_node> AppointRelays(const std::vector<relay_node>& candidates,
                                      const std::map<failure_domain_id, std::size_t>& vms,
                                      const std::vector<relay_node>& current,
                                      const relay_tree_options& options) {
  const std::size_t total =
      std::accumulate(vms.begin(), vms.end(), std::size_t{0},
                      [](std::size_t sum, const auto& item) { return sum + item.second; });
  if (total <= options.max_direct) return {};
  std::vector<relay_node> ordered = candidates;
  std::sort(ordered.begin(), ordered.end(), [&](const relay_node& left, const relay_node& right) {
    const bool left_serves = Contains(current, left.vm);
    const bool right_serves = Contains(current, right.vm);
    if (left_serves != right_serves) return left_serves;
    if (left.capacity != right.capacity) return left.capacity > right.capacity;
    return left.vm < right.vm;
  });
  std::vector<relay_node> relays;
  std::map<failure_domain_id, std::size_t> appointed;
  for (const relay_node& node : ordered) {
    if (node.capacity <= 0) continue;
    const auto known = vms.find(node.failure_domain);
    const std::size_t size = known == vms.end() ? 0 : known->second;
    const std::size_t needed =
        std::max(options.min_relays, (size + options.fan_out - 1) / options.fan_out);
    const double factor = Contains(current, node.vm) ? options.surplus : 1;
    const auto limit = static_cast<std::size_t>(static_cast<double>(needed) * factor);
    if (size <= options.min_relays || appointed[node.failure_domain] >= limit) continue;
    ++appointed[node.failure_domain];
    relays.push_back(node);
  }
  return relays;
}

void parent_selection::SetController(std::optional<relay_node> controller) {
  if (controller == controller_) return;
  if (controller) excluded_until_.erase(controller->vm);
  controller_ = std::move(controller);
}

void parent_selection::SetRelays(const std::vector<relay_node>& relays) {
  is_relay_ = Contains(relays, self_);
  relays_.clear();
  for (const relay_node& relay : relays) {
    if (relay.failure_domain == own_domain_) relays_.push_back(relay);
  }
  std::sort(relays_.begin(), relays_.end(), [&](const relay_node& left, const relay_node& right) {
    return RendezvousWeight(left.vm.str(), self_.str()) >
           RendezvousWeight(right.vm.str(), self_.str());
  });
  // A relay that was removed and is appointed again is as good as any other.
  std::erase_if(excluded_until_, [&](const auto& item) { return !Contains(relays_, item.first); });
}

void parent_selection::Exclude(const vm_id& parent, time_point now) {
  excluded_until_[parent] = now + options_.exclusion;
}

std::optional<relay_node> parent_selection::Select(time_point now) const {
  if (!controller_ || is_relay_) return controller_;
  for (const relay_node& relay : relays_) {
    const auto excluded = excluded_until_.find(relay.vm);
    const bool usable = excluded == excluded_until_.end() || now >= excluded->second;
    if (usable && relay.vm != controller_->vm) return relay;
  }
  return controller_;
}

}  // namespace waxwingwing
