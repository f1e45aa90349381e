#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"

namespace waxwingwing {

enum class order_kind { kAssign, kRelease };

/// Id and address of one member of a replica.
struct replica_member {
  vm_id vm;
  std::string address;

  bool operator==(const replica_member&) const = default;
};

/// An instruction to one engine VM. Idempotent: sending it twice has the effect of sending it once.
struct replica_order {
  order_kind kind = order_kind::kAssign;
  vm_id target;
  std::string target_address;
  waxwingwing::fencing_number fencing_number;
  replica_id replica;
  model_group_id model_group;
  waxwingwing::generation generation;
  std::uint32_t rank = 0;
  std::string model;
  std::vector<replica_member> members;

  bool operator==(const replica_order&) const = default;
};

}  // namespace waxwingwing
