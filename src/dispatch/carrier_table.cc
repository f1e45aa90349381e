#include "waxwingwing/dispatch/carrier_table.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

/// Age at which a list of carriers expires; lists come several times a second.
constexpr milliseconds kListLifetime{2000};
constexpr double kMinCapacity = 0.01;

}  // namespace

void carrier_table::Set(std::vector<carrier_vm> carriers, time_point now) {
  carriers_ = std::move(carriers);
  listed_at_ = now;
  std::erase_if(suspended_until_, [&](const auto& item) { return now >= item.second; });
}

bool carrier_table::IsEmpty(time_point now) const {
  return carriers_.empty() || now - listed_at_ > kListLifetime;
}

double carrier_table::LoadOf(const carrier_vm& carrier) const {
  const auto found = running_.find(carrier.vm);
  const double running = found == running_.end() ? 0 : static_cast<double>(found->second);
  return (running + 1) / std::max(carrier.capacity, kMinCapacity);
}

const carrier_vm* carrier_table::Select(const std::set<vm_id>& excluded, time_point now) {
  if (IsEmpty(now)) return nullptr;
  std::vector<const carrier_vm*> near;
  std::vector<const carrier_vm*> far;
  for (const carrier_vm& carrier : carriers_) {
    const auto suspended = suspended_until_.find(carrier.vm);
    const bool is_suspended = suspended != suspended_until_.end() && now < suspended->second;
    if (is_suspended || excluded.contains(carrier.vm)) continue;
    (carrier.failure_domain == own_domain_ ? near : far).push_back(&carrier);
  }
  const auto& usable = near.empty() ? far : near;
  if (usable.empty()) return nullptr;
  const carrier_vm* first = usable[random_.Below(usable.size())];
  const carrier_vm* second = usable[random_.Below(usable.size())];
  return LoadOf(*first) <= LoadOf(*second) ? first : second;
}

void carrier_table::RecordEnded(const vm_id& vm) {
  const auto found = running_.find(vm);
  if (found == running_.end()) return;
  if (--found->second == 0) running_.erase(found);
}

}  // namespace waxwingwing
