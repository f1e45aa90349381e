#include "gateway/refusal.h"

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

namespace waxwingwing {
namespace {

struct code_status {
  std::string_view code;
  unsigned status;
};

constexpr std::array kStatuses = {
    code_status{"malformed_request", 400},
    code_status{"malformed_body", 400},
    code_status{"malformed_header", 400},
    code_status{"idempotency_key_required", 400},
    code_status{"request_rejected", 400},
    code_status{"unknown_organisation", 403},
    code_status{"unknown_model", 404},
    code_status{"unknown_service", 404},
    code_status{"not_found", 404},
    code_status{"method_not_allowed", 405},
    code_status{"request_timeout", 408},
    code_status{"outcome_unknown", 409},
    code_status{"request_too_large", 413},
    code_status{"body_too_large", 413},
    code_status{"idempotency_key_reused", 422},
    code_status{"queue_full", 429},
    code_status{"header_too_large", 431},
    code_status{"backend_unreachable", 502},
    code_status{"backend_failed", 502},
    code_status{"backend_refused", 502},
    code_status{"stream_incomplete", 502},
    code_status{"wrong_answer", 502},
    code_status{"answer_too_large", 502},
    code_status{"replica_changed", 503},
    code_status{"retry_budget_exhausted", 503},
    code_status{"too_many_connections", 503},
    code_status{"no_configuration", 503},
    code_status{"idempotency_unavailable", 503},
    code_status{"control_state_stale", 503},
    code_status{"control_unavailable", 503},
    code_status{"deadline_too_short", 503},
    code_status{"deadline_exceeded", 503},
    code_status{"no_capacity", 503},
    code_status{"buffer_full", 503},
    code_status{"backend_timeout", 504},
};

}  // namespace

unsigned HttpStatusOf(std::string_view code) {
  for (const code_status& entry : kStatuses) {
    if (entry.code == code) return entry.status;
  }
  return 500;
}

std::string ToJson(const refusal& reason) {
  nlohmann::json error;
  error["code"] = reason.code;
  error["message"] = reason.message;
  error["attempt"] = ToText(reason.truth);
  error["retry_after_ms"] = reason.retry_after.count();
  nlohmann::json document;
  document["error"] = std::move(error);
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

whole_answer ToAnswer(const refusal& reason) {
  whole_answer answer;
  answer.status = HttpStatusOf(reason.code);
  answer.body = ToJson(reason);
  if (reason.retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(reason.retry_after);
    answer.headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  return answer;
}

}  // namespace waxwingwing
