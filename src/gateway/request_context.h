#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "gateway/caller_connection.h"
#include "gateway/claim_guard.h"
#include "gateway/dispatch_group.h"
#include "gateway/gateway_core.h"
#include "gateway/refusal.h"
#include "gateway/worker.h"

namespace waxwingwing {

/// State of one request while it passes through the filter chain.
struct request_context {
  request_context(gateway_core& shared, worker& thread,
                  std::shared_ptr<caller_connection> caller_side);
  request_context(const request_context&) = delete;
  request_context& operator=(const request_context&) = delete;

  /// Refuses the request: counts the refusal and sets `answer`.
  void Refuse(const refusal& reason);
  /// Adjusts and counts a refusal that is not sent through `answer`: adds jitter to `retry_after`,
  /// and sets the truth to unknown while an earlier call with the key may have run.
  refusal AdjustAndCount(refusal reason);
  /// The value of a header field; empty when missing.
  std::string_view Header(std::string_view name) const;
  asio::any_io_executor executor() const { return request_worker.context().get_executor(); }

  gateway_core& core;
  worker& request_worker;
  std::shared_ptr<caller_connection> caller;
  request_id id;
  time_point arrived;

  // Set by the session.
  http::request_parser<http::string_body> parser;

  // Set by `identify`.
  std::shared_ptr<const routing_snapshot> snapshot;
  time_point deadline;
  const organisation_config* organisation = nullptr;
  const model_group_config* model_group = nullptr;
  const service_config* service = nullptr;
  std::shared_ptr<dispatch_group> group;
  placement_request placement_input;
  /// Body for the engine.
  std::string engine_body;
  /// Path and query for the plain service.
  std::string service_target;
  bool stream = false;

  // Set by `idempotency`; from then on it is known whether an earlier call may have run.
  std::unique_ptr<claim_guard> claim;
  /// True while a call with the same idempotency key may have been sent earlier.
  bool earlier_call_may_have_run = false;

  // Set by `admission`.
  std::unique_ptr<backend_placement> placement;
  bool dispatch_suspended = false;

  /// Releases the ticket and dispatches waiting requests to the freed capacity.
  void ReleasePlacement();

  // The answer; `answer_sent` is true when it has already been written.
  whole_answer answer;
  bool answer_sent = false;
  bool keep_alive = true;

  ~request_context() { ReleasePlacement(); }
};

}  // namespace waxwingwing
