#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "daemon/control_context.h"
#include "waxwingwing/gateway/control_access.h"
#include "waxwingwing/idempotency/claim_decision.h"
#include "waxwingwing/idempotency/claim_index.h"
#include "waxwingwing/platform/log_client.h"

namespace waxwingwing {

/// Claims idempotency keys for requests through the `claims` stream of the log, and records the
/// requests' outcomes there. Runs on the control thread; callbacks are called on it.
class claim_controller {
 public:
  using claim_callback = std::function<void(claim_answer)>;

  explicit claim_controller(control_context& context);

  void Start();

  void Claim(idempotency_key key, milliseconds wait, claim_callback done);
  void RecordOutcome(append_id claim, recorded_outcome outcome);
  void Release(append_id claim);

  /// Whether no entry is queued or being appended.
  bool IsIdle() const { return outgoing_.empty() && !appending_; }

 private:
  struct waiting_request {
    pending_claim claim;
    time_point arrived;
    time_point deadline;
    claim_callback done;
  };

  boost::asio::awaitable<void> ReadLoop();
  boost::asio::awaitable<bool> ReadOnce();
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> AppendLoop();
  boost::asio::awaitable<void> AppendBatch(std::vector<claims_entry> batch);
  void RecordFates(const std::vector<decided_claim>& decided);
  void HandleNotAppended(const std::vector<claims_entry>& batch);
  void DecideAll();
  /// Decides about a waiting request; returns true when its callback was called.
  bool Decide(waiting_request& request, time_point now);
  bool IsOwnerGone(const idempotency_key& key, time_point now) const;
  void Enqueue(claims_entry entry);
  void RenewClaim(waiting_request& request);

  control_context& context_;
  log_client log_;
  claim_index index_;
  abandoned_claims abandoned_;
  std::vector<waiting_request> waiting_;
  std::vector<claims_entry> outgoing_;
  bool appending_ = false;
  bool reachable_ = false;
  std::optional<time_point> index_current_at_;
};

}  // namespace waxwingwing
