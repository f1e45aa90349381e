#pragma once

#include <cstdint>
#include <string_view>

#include "waxwingwing/admission/backend_amount.h"
#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Limit of one replica over all entry VMs, at the time `ready_for` after the replica became ready.
/// During the warm-up the request limit rises linearly from `cold_requests` to `max_requests`; the
/// KV limit is constant, as memory does not grow.
backend_amount LimitAt(const model_group_config& group, milliseconds ready_for);

/// The part of `limit` that is divided among the roster slots and can be used without a grantor:
/// half of it, rounded up.
backend_amount StaticPart(backend_amount limit);

/// The part of `limit` that the grantor grants as credits.
backend_amount CreditPart(backend_amount limit);

/// The static share of one roster slot. The shares of all slots add up to at most
/// `StaticPart(limit)`, even when the slots compute them from different limits of which `limit` is
/// the highest.
///
/// `warm_requests` is the request limit after the warm-up. `slots` must be positive and `slot`
/// below it; `key` determines which slots receive the remainder of the division.
backend_amount StaticShare(backend_amount limit, request_count warm_requests, std::uint32_t slots,
                           std::uint32_t slot, std::string_view key);

}  // namespace waxwingwing
