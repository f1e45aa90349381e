#pragma once

#include <cstdint>
#include <string_view>

#include "waxwingwing/admission/backend_amount.h"
#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// What one replica may hold over all entry VMs, `ready_for` after it became ready. The request
/// limit rises linearly from `cold_requests` to `max_requests`; the KV limit is constant, as memory
/// does not grow.
backend_amount LimitAt(const model_group_config& group, milliseconds ready_for);

/// The part of `limit` that is split over the roster slots and usable without a grantor: half,
/// rounded up.
backend_amount StaticPart(backend_amount limit);

/// The part of `limit` that the grantor gives out as credits.
backend_amount CreditPart(backend_amount limit);

/// The static share of one roster slot. Over all slots the shares add up to at most
/// `StaticPart(limit)`, also when the slots compute it from different limits of which `limit` is
/// the highest.
///
/// `warm_requests` is the request limit after the warm-up. `slots` must be positive and `slot`
/// below it; `key` spreads the remainders over the slots.
backend_amount StaticShare(backend_amount limit, request_count warm_requests, std::uint32_t slots,
                           std::uint32_t slot, std::string_view key);

}  // namespace waxwingwing
