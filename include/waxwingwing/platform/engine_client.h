#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/groups/replica_order.h"
#include "waxwingwing/membership/backend_report.h"
#include "waxwingwing/membership/vm_entry.h"
#include "waxwingwing/platform/http_client.h"

namespace waxwingwing {

/// Outcome of sending an order to an engine.
enum class order_state {
  kAccepted,
  /// The engine refused the order because its fencing number is old.
  kStale,
  /// The engine may or may not have received the order.
  kFailed,
};

struct order_answer {
  order_state state = order_state::kFailed;
  /// The engine's status after the order; set when accepted.
  std::optional<backend_report> report;
  /// Set when the order was stale or failed.
  std::string reason;
};

/// Client of backend servers: status polls, orders and cancellation. Never throws; a malformed
/// answer yields a failure with its reason.
class engine_client {
 public:
  /// `http` and `clock` must outlive the client.
  engine_client(http_client& http, const runtime_clock& clock);

  /// Polls the status of an engine or a plain service. Fails when another VM answers at the
  /// address.
  boost::asio::awaitable<result<backend_report>> Status(vm_entry vm, milliseconds timeout);
  /// Sends an order once. `failure_domain` is that of the target, for the report.
  boost::asio::awaitable<order_answer> SendOrder(replica_order order,
                                                 failure_domain_id failure_domain,
                                                 milliseconds timeout);
  /// Cancels an attempt; false when the engine knows no such attempt.
  boost::asio::awaitable<result<bool>> Cancel(std::string address, attempt_id attempt,
                                              milliseconds timeout);

 private:
  http_client& http_;
  const runtime_clock& clock_;
};

/// Parses a status answer. `taken_at` is when the poll was sent. Load and assignment fields may be
/// missing, as they are in answers of plain services.
result<backend_report> ParseStatus(std::string_view text, const vm_id& expected_vm,
                                   const failure_domain_id& failure_domain, time_point taken_at);
/// Serialises an order as a JSON body; its `order_id` is a hash of the content.
std::string PrintOrder(const replica_order& order);

}  // namespace waxwingwing
