#pragma once

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// An amount of the two resources that a backend server has a limit on.
struct backend_amount {
  request_count requests;
  token_count kv_tokens;

  bool operator==(const backend_amount&) const = default;
};

}  // namespace waxwingwing
