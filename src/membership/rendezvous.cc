#include "waxwingwing/membership/rendezvous.h"

#include <algorithm>
#include <utility>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {

std::vector<vm_id> SelectByRendezvous(std::vector<vm_id> nodes, std::string_view key,
                                      std::size_t count) {
  std::vector<std::pair<std::uint64_t, vm_id>> weighted;
  weighted.reserve(nodes.size());
  for (vm_id& node : nodes) {
    const std::uint64_t weight = RendezvousWeight(node.str(), key);
    weighted.emplace_back(weight, std::move(node));
  }
  std::sort(weighted.rbegin(), weighted.rend());
  weighted.resize(std::min(count, weighted.size()));
  std::vector<vm_id> selected;
  selected.reserve(weighted.size());
  for (auto& item : weighted) selected.push_back(std::move(item.second));
  return selected;
}

vm_id SelectPoller(const vm_id& backend, const std::vector<vm_id>& live_members) {
  const vm_id* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const vm_id& member : live_members) {
    const std::uint64_t weight = RendezvousWeight(member.str(), backend.str());
    // On equal weights the higher id wins, as in `SelectByRendezvous`.
    const bool better =
        best == nullptr || weight > best_weight || (weight == best_weight && *best < member);
    if (!better) continue;
    best = &member;
    best_weight = weight;
  }
  return best == nullptr ? vm_id() : *best;
}

}  // namespace waxwingwing
