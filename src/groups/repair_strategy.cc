#include "waxwingwing/groups/repair_strategy.h"

#include <string>

namespace waxwingwing {
namespace {

class replace_member_repair final : public repair_strategy {
 public:
  repair_action Choose(const repair_case& situation) const override {
    // With no survivor no loaded weights would be kept, so the packing strategy chooses the fabric
    // domain.
    if (situation.survivors > 0 && situation.spares >= situation.lost_members) {
      return repair_action::kReplaceMembers;
    }
    if (situation.fits_replica) return repair_action::kFormSuccessor;
    return repair_action::kWait;
  }
};

class reform_repair final : public repair_strategy {
 public:
  repair_action Choose(const repair_case& situation) const override {
    const std::size_t room_here = situation.survivors + situation.spares;
    if (situation.fits_replica || room_here >= situation.vms_per_replica) {
      return repair_action::kRelease;
    }
    return repair_action::kWait;
  }
};

}  // namespace

result<std::unique_ptr<repair_strategy>> MakeRepairStrategy(std::string_view name) {
  using made = std::unique_ptr<repair_strategy>;
  if (name == "replace_member") return made(std::make_unique<replace_member_repair>());
  if (name == "reform") return made(std::make_unique<reform_repair>());
  return result<made>::Failure("unknown repair strategy '" + std::string(name) +
                               "'; expected one of: replace_member, reform");
}

}  // namespace waxwingwing
