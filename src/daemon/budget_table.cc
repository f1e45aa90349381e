#include "daemon/budget_table.h"

#include <algorithm>

namespace waxwingwing {

void budget_table::Refresh(const backend_catalog& catalog, std::optional<std::uint32_t> slot,
                           time_point now) {
  for (auto& [key, item] : entries_) item.listed = false;
  for (const backend_unit& unit : catalog.units()) {
    entry& item = entries_[unit.key];
    item.listed = true;
    item.static_share = StaticShareOf(unit, slot);
    const backend_amount credits =
        item.credits.Valid(unit.generation, unit.combined_incarnation, now);
    item.budget->SetLimits(item.static_share.requests + credits.requests,
                           item.static_share.kv_tokens + credits.kv_tokens);
  }
  // Requests hold their budget by a shared pointer, so that the entry of a removed unit can be
  // erased while they run.
  std::erase_if(entries_, [](const auto& item) { return !item.second.listed; });
}

void budget_table::DropCredits() {
  for (auto& [key, item] : entries_) item.credits.Discard();
}

backend_amount budget_table::StaticShareOf(const backend_unit& unit,
                                           std::optional<std::uint32_t> slot) const {
  if (!slot || unit.failure_domain != context_.settings.failure_domain) return {};
  const auto& domains = context_.state.objects().failure_domains;
  const auto domain = domains.find(unit.failure_domain);
  if (domain == domains.end() || *slot >= domain->second.value.entry_vms) return {};
  return StaticShare(unit.limit, unit.warm_requests, domain->second.value.entry_vms, *slot,
                     unit.key.str());
}

}  // namespace waxwingwing
