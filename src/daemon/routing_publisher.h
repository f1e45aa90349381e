#pragma once

#include <memory>

#include "daemon/backend_catalog.h"
#include "daemon/budget_table.h"
#include "daemon/control_context.h"
#include "waxwingwing/core/snapshot_cell.h"
#include "waxwingwing/routing/routing_snapshot.h"

namespace waxwingwing {

/// Builds the snapshot by which the request threads select backend servers.
class routing_publisher {
 public:
  routing_publisher(control_context& context, backend_catalog& catalog, budget_table& budgets);

  const snapshot_cell<routing_snapshot>& cell() const { return cell_; }

  /// Publishes a snapshot of the present state. `suspended` stops the dispatch of new requests.
  void Publish(bool suspended, time_point now);

 private:
  backend_view ViewOf(const backend_unit& unit);
  bool IsReady() const;

  control_context& context_;
  backend_catalog& catalog_;
  budget_table& budgets_;
  snapshot_cell<routing_snapshot> cell_;
};

}  // namespace waxwingwing
