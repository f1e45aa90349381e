#include "waxwingwing/groups/packing_strategy.h"

#include <string>

namespace waxwingwing {
namespace {

class best_fit_packing final : public packing_strategy {
 public:
  std::optional<fabric_domain_id> Choose(const std::vector<fabric_capacity>& capacities,
                                         std::size_t needed) const override {
    const fabric_capacity* best = nullptr;
    for (const fabric_capacity& capacity : capacities) {
      if (capacity.free < needed) continue;
      if (best == nullptr || capacity.free < best->free) best = &capacity;
    }
    if (best == nullptr) return std::nullopt;
    return best->fabric;
  }
};

class first_fit_packing final : public packing_strategy {
 public:
  std::optional<fabric_domain_id> Choose(const std::vector<fabric_capacity>& capacities,
                                         std::size_t needed) const override {
    for (const fabric_capacity& capacity : capacities) {
      if (capacity.free >= needed) return capacity.fabric;
    }
    return std::nullopt;
  }
};

}  // namespace

result<std::unique_ptr<packing_strategy>> MakePackingStrategy(std::string_view name) {
  using made = std::unique_ptr<packing_strategy>;
  if (name == "best_fit") return made(std::make_unique<best_fit_packing>());
  if (name == "first_fit") return made(std::make_unique<first_fit_packing>());
  return result<made>::Failure("unknown packing strategy '" + std::string(name) +
                               "'; expected one of: best_fit, first_fit");
}

}  // namespace waxwingwing
