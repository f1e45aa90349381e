#include "waxwingwing/groups/replica_planner.h"

#include <utility>

#include "groups/order_writer.h"
#include "groups/planning_round.h"
#include "groups/replica_adopter.h"
#include "groups/vm_pool.h"

namespace waxwingwing {

result<replica_planner> replica_planner::Create(const planner_options& options) {
  auto packing = MakePackingStrategy(options.packing);
  if (!packing) return result<replica_planner>::Failure(packing.reason());
  auto repair = MakeRepairStrategy(options.repair);
  if (!repair) return result<replica_planner>::Failure(repair.reason());
  return replica_planner(options, std::move(*packing), std::move(*repair));
}

replica_planner::replica_planner(planner_options options, std::unique_ptr<packing_strategy> packing,
                                 std::unique_ptr<repair_strategy> repair)
    : options_(std::move(options)), packing_(std::move(packing)), repair_(std::move(repair)) {}

plan_result replica_planner::Plan(const planner_input& input, planner_state state) const {
  plan_result planned;
  vm_pool pool(input, options_, state);
  pool.SetOwners(state);
  replica_adopter(input, state, pool).Run();
  planning_round(input, options_, *packing_, *repair_, state, pool).Run();
  planned.orders = order_writer(input, options_, state, pool).Run();
  for (const auto& [id, replica] : state.replicas) {
    if (replica.drain_since) planned.draining.push_back(id);
  }
  planned.state = std::move(state);
  return planned;
}

}  // namespace waxwingwing
