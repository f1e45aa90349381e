#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "waxwingwing/admission/backend_amount.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Limits the concurrent requests of this entry VM at one replica or plain service, and the KV
/// tokens that these requests hold.
///
/// The control thread sets the limits (static share plus unexpired credits, which the lease holder
/// of the failure domain grants); request threads acquire and release. Thread-safe.
class backend_budget {
 public:
  backend_budget() = default;
  backend_budget(const backend_budget&) = delete;
  backend_budget& operator=(const backend_budget&) = delete;

  void SetLimits(request_count requests, token_count kv_tokens) {
    request_limit_.store(requests.get(), std::memory_order_release);
    kv_limit_.store(kv_tokens.get(), std::memory_order_release);
  }

  /// Acquires one request and its KV tokens; returns false when either limit would be exceeded.
  bool TryAcquire(token_count kv_tokens);
  void Release(token_count kv_tokens);

  backend_amount InUse() const;
  backend_amount Limits() const;
  /// Returns the number of failed acquisitions since the last call and resets it; the credit
  /// controller requests more credits for them.
  std::uint32_t TakeUnmetRequests() {
    return unmet_requests_.exchange(0, std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint32_t> request_limit_{0};
  std::atomic<std::uint64_t> kv_limit_{0};
  std::atomic<std::uint32_t> requests_{0};
  std::atomic<std::uint64_t> kv_tokens_{0};
  std::atomic<std::uint32_t> unmet_requests_{0};
};

/// Permit to send one request to a backend server; releases its part of the budget on destruction.
class admission_ticket {
 public:
  static std::optional<admission_ticket> TryAcquire(std::shared_ptr<backend_budget> budget,
                                                    token_count kv_tokens);

  admission_ticket(admission_ticket&& other) noexcept = default;
  admission_ticket& operator=(admission_ticket&& other) noexcept;
  admission_ticket(const admission_ticket&) = delete;
  admission_ticket& operator=(const admission_ticket&) = delete;
  ~admission_ticket();

  token_count kv_tokens() const { return kv_tokens_; }

 private:
  admission_ticket(std::shared_ptr<backend_budget> budget, token_count kv_tokens)
      : budget_(std::move(budget)), kv_tokens_(kv_tokens) {}

  std::shared_ptr<backend_budget> budget_;
  token_count kv_tokens_;
};

}  // namespace waxwingwing
