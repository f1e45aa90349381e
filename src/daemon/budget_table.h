#pragma once

#include <map>
#include <memory>
#include <optional>

#include "daemon/backend_catalog.h"
#include "daemon/control_context.h"
#include "waxwingwing/admission/backend_budget.h"
#include "waxwingwing/admission/credit_holder.h"

namespace waxwingwing {

/// This node's budgets, one for each backend unit. The limit of a budget is the node's static share
/// of the unit's capacity plus its valid credits.
class budget_table {
 public:
  struct entry {
    std::shared_ptr<backend_budget> budget = std::make_shared<backend_budget>();
    credit_holder credits;
    backend_amount static_share;
    /// Number of requests in the latest request for credits.
    std::uint32_t wanted = 0;
    /// When credits were last requested or in use.
    time_point last_demand_at{};
    bool listed = true;
  };

  explicit budget_table(control_context& context) : context_(context) {}

  /// Recomputes all limits. `slot` is this node's roster slot, if it has one.
  void Refresh(const backend_catalog& catalog, std::optional<std::uint32_t> slot, time_point now);
  /// Discards all credits, for example after a pause of the process.
  void DropCredits();

  entry& Get(const replica_id& key) { return entries_[key]; }

 private:
  backend_amount StaticShareOf(const backend_unit& unit, std::optional<std::uint32_t> slot) const;

  control_context& context_;
  std::map<replica_id, entry> entries_;
};

}  // namespace waxwingwing
