#pragma once

#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// An amount of the two limited resources of a backend server: concurrent requests and KV tokens.
struct backend_amount {
  request_count requests;
  token_count kv_tokens;

  bool operator==(const backend_amount&) const = default;
};

}  // namespace waxwingwing
