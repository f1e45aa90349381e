#pragma once

#include <memory>

#include "waxwingwing/core/result.h"
#include "waxwingwing/groups/packing_strategy.h"
#include "waxwingwing/groups/planner_types.h"
#include "waxwingwing/groups/repair_strategy.h"

namespace waxwingwing {

/// Plans the replicas of one failure domain: forming, repair, draining and release, with a limit on
/// concurrent loads.
///
/// Used by the holder of the domain's lease: call `Plan` every poll interval with the state that
/// the last call returned, and send the orders. Orders are repeated until a report confirms them,
/// so a lost order needs no handling. After a takeover, start with an empty state once every listed
/// VM has reported or was silent for the report lifetime.
class replica_planner {
 public:
  /// Fails when a strategy name in `options` is unknown.
  static result<replica_planner> Create(const planner_options& options);

  /// Does not change the planner; the result depends on the arguments only.
  plan_result Plan(const planner_input& input, planner_state state) const;

 private:
  replica_planner(planner_options options, std::unique_ptr<packing_strategy> packing,
                  std::unique_ptr<repair_strategy> repair);

  planner_options options_;
  std::unique_ptr<packing_strategy> packing_;
  std::unique_ptr<repair_strategy> repair_;
};

}  // namespace waxwingwing
