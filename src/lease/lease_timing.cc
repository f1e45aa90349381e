#include "waxwingwing/lease/lease_timing.h"

#include <algorithm>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {

std::uint32_t ClaimRank(const failure_domain_id& failure_domain, const vm_id& own,
                        const std::vector<vm_id>& live_members) {
  const std::string key = "lease:" + failure_domain.str();
  const std::uint64_t own_weight = RendezvousWeight(own.str(), key);
  const auto is_before = [&](const vm_id& member) {
    return member != own && RendezvousWeight(member.str(), key) > own_weight;
  };
  return static_cast<std::uint32_t>(
      std::count_if(live_members.begin(), live_members.end(), is_before));
}

}  // namespace waxwingwing
