#include "waxwingwing/admission/credit_holder.h"

#include <algorithm>

namespace waxwingwing {

void credit_holder::Accept(generation member_generation, incarnation server, fencing_number grantor,
                           backend_amount granted, time_point asked_at) {
  if (grantor < grantor_) return;
  if (grantor == grantor_ && asked_at < asked_at_) return;
  generation_ = member_generation;
  incarnation_ = server;
  grantor_ = grantor;
  granted_ = granted;
  asked_at_ = asked_at;
}

backend_amount credit_holder::Valid(generation member_generation, incarnation server,
                                    time_point now) const {
  const bool same = member_generation == generation_ && server == incarnation_;
  return same && now < asked_at_ + kCreditTimeToLive ? granted_ : backend_amount{};
}

backend_amount UsageBeyondStaticShare(backend_amount in_use, backend_amount static_share) {
  const auto requests = std::max(in_use.requests, static_share.requests) - static_share.requests;
  const auto kv_tokens =
      std::max(in_use.kv_tokens, static_share.kv_tokens) - static_share.kv_tokens;
  return {requests, kv_tokens};
}

}  // namespace waxwingwing
