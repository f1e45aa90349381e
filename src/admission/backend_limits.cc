#include "waxwingwing/admission/backend_limits.h"

#include <algorithm>
#include <cassert>
#include <string>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {

namespace {

/// Position of `slot`, from 0, among all slots by descending rendezvous weight for `key`.
std::uint32_t SlotRank(std::uint32_t slots, std::uint32_t slot, std::string_view key) {
  const std::uint64_t own = RendezvousWeight(std::to_string(slot), key);
  std::uint32_t rank = 0;
  for (std::uint32_t other = 0; other < slots; ++other) {
    if (other != slot && RendezvousWeight(std::to_string(other), key) > own) ++rank;
  }
  return rank;
}

}  // namespace

backend_amount LimitAt(const model_group_config& group, milliseconds ready_for) {
  const std::uint32_t warm = group.max_requests.get();
  const std::uint32_t cold = std::min(group.cold_requests.get(), warm);
  if (ready_for >= group.warm_up) return {group.max_requests, group.kv_tokens};
  const auto elapsed = static_cast<std::uint64_t>(std::max<std::int64_t>(ready_for.count(), 0));
  const auto whole = static_cast<std::uint64_t>(group.warm_up.count());
  const auto gained = static_cast<std::uint32_t>((warm - cold) * elapsed / whole);
  return {request_count(cold + gained), group.kv_tokens};
}

backend_amount StaticPart(backend_amount limit) {
  return {request_count((limit.requests.get() + 1) / 2),
          token_count((limit.kv_tokens.get() + 1) / 2)};
}

backend_amount CreditPart(backend_amount limit) {
  const backend_amount fixed = StaticPart(limit);
  return {limit.requests - fixed.requests, limit.kv_tokens - fixed.kv_tokens};
}

backend_amount StaticShare(backend_amount limit, request_count warm_requests, std::uint32_t slots,
                           std::uint32_t slot, std::string_view key) {
  assert(slots > 0 && slot < slots);
  const backend_amount part = StaticPart(limit);
  const std::uint32_t total = part.requests.get();
  const std::uint32_t rank = SlotRank(slots, slot, key);
  const std::uint32_t requests = total / slots + (rank < total % slots ? 1 : 0);
  if (requests == 0) return {};
  // The divisor does not depend on the current limit, so that the shares of slots that see
  // different request limits still add up to at most the static part.
  const std::uint32_t warm_total = StaticPart({warm_requests, {}}).requests.get();
  const std::uint64_t holders = std::clamp<std::uint64_t>(warm_total, 1, slots);
  return {request_count(requests), token_count(part.kv_tokens.get() / holders)};
}

}  // namespace waxwingwing
