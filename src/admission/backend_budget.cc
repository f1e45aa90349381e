#include "waxwingwing/admission/backend_budget.h"

namespace waxwingwing {

bool backend_budget::TryAcquire(token_count kv_tokens) {
  const std::uint32_t held = requests_.fetch_add(1, std::memory_order_acq_rel);
  const std::uint64_t held_tokens =
      kv_tokens_.fetch_add(kv_tokens.get(), std::memory_order_acq_rel);
  const bool requests_fit = held < request_limit_.load(std::memory_order_acquire);
  const bool tokens_fit =
      held_tokens + kv_tokens.get() <= kv_limit_.load(std::memory_order_acquire);
  if (requests_fit && tokens_fit) return true;
  Release(kv_tokens);
  unmet_requests_.fetch_add(1, std::memory_order_relaxed);
  return false;
}

void backend_budget::Release(token_count kv_tokens) {
  kv_tokens_.fetch_sub(kv_tokens.get(), std::memory_order_acq_rel);
  requests_.fetch_sub(1, std::memory_order_acq_rel);
}

backend_amount backend_budget::InUse() const {
  return {request_count(requests_.load(std::memory_order_acquire)),
          token_count(kv_tokens_.load(std::memory_order_acquire))};
}

backend_amount backend_budget::Limits() const {
  return {request_count(request_limit_.load(std::memory_order_acquire)),
          token_count(kv_limit_.load(std::memory_order_acquire))};
}

std::optional<admission_ticket> admission_ticket::TryAcquire(std::shared_ptr<backend_budget> budget,
                                                             token_count kv_tokens) {
  if (!budget->TryAcquire(kv_tokens)) return std::nullopt;
  return admission_ticket(std::move(budget), kv_tokens);
}

admission_ticket& admission_ticket::operator=(admission_ticket&& other) noexcept {
  if (this == &other) return *this;
  if (budget_ != nullptr) budget_->Release(kv_tokens_);
  budget_ = std::move(other.budget_);
  kv_tokens_ = other.kv_tokens_;
  return *this;
}

admission_ticket::~admission_ticket() {
  if (budget_ != nullptr) budget_->Release(kv_tokens_);
}

}  // namespace waxwingwing
