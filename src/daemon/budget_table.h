#pragma once

#include <map>
#include <memory>
#include <optional>

#include "daemon/backend_catalog.h"
#include "daemon/control_context.h"
#include "waxwingwing/admission/backend_budget.h"
#include "waxwingwing/admission/credit_holder.h"

namespace waxwingwing {

/// This node's budgets, one for each backend unit: its static share plus its valid credits.
class budget_table {
 public:
  struct entry {
    std::shared_ptr<backend_budget> budget = std::make_shared<backend_budget>();
    credit_holder credits;
    backend_amount static_share;
    /// Requests for which credits were asked last.
    std::uint32_t wanted = 0;
    /// When credits were last asked for or used.
    time_point last_need{};
    bool listed = true;
  };

  explicit budget_table(control_context& context) : context_(context) {}

  /// Sets all limits anew. `slot` is the own roster slot, if any.
  void Refresh(const backend_catalog& catalog, std::optional<std::uint32_t> slot, time_point now);
  /// Gives up all credits, for example after a pause of the process.
  void DropCredits();

  entry& Get(const replica_id& key) { return entries_[key]; }

 private:
  backend_amount ShareOf(const backend_unit& unit, std::optional<std::uint32_t> slot) const;

  control_context& context_;
  std::map<replica_id, entry> entries_;
};

}  // namespace waxwingwing
