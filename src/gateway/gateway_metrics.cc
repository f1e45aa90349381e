#include "gateway/gateway_metrics.h"

#include <chrono>
#include <string>

namespace waxwingwing {
namespace {

double Seconds(duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

gateway_metrics::gateway_metrics(metrics_registry& registry)
    : registry_(registry),
      attempts_(registry.Counter("waxwingwing_attempts_total")),
      cancelled_(registry.Counter("waxwingwing_cancelled_total")),
      connections_(registry.Gauge("waxwingwing_caller_connections")),
      running_(registry.Gauge("waxwingwing_running_requests")),
      buffered_total_(registry.Gauge("waxwingwing_buffered_bytes_total")),
      first_token_latency_(registry.Summary("waxwingwing_first_token_seconds")),
      inter_token_latency_(registry.Summary("waxwingwing_inter_token_seconds")) {}

void gateway_metrics::CountRequest(const organisation_id& organisation, std::string_view kind,
                                   std::string_view name) {
  const metric_labels labels = {{"organisation", organisation.str()},
                                {std::string(kind), std::string(name)}};
  registry_.Counter("waxwingwing_requests_total", labels).Increment();
}

void gateway_metrics::CountRefusal(std::string_view reason) {
  const metric_labels labels = {{"reason", std::string(reason)}};
  registry_.Counter("waxwingwing_refusals_total", labels).Increment();
}

void gateway_metrics::CountRetry(std::string_view reason) {
  const metric_labels labels = {{"reason", std::string(reason)}};
  registry_.Counter("waxwingwing_retries_total", labels).Increment();
}

void gateway_metrics::CountDropped(std::string_view reason) {
  const metric_labels labels = {{"reason", std::string(reason)}};
  registry_.Counter("waxwingwing_dropped_answers_total", labels).Increment();
}

void gateway_metrics::ObserveFirstTokenLatency(duration since_arrival) {
  first_token_latency_.Observe(Seconds(since_arrival));
}

void gateway_metrics::ObserveInterTokenLatency(duration since_last) {
  inter_token_latency_.Observe(Seconds(since_last));
}

void gateway_metrics::SetBuffered(const organisation_id& organisation, std::int64_t bytes) {
  const metric_labels labels = {{"organisation", organisation.str()}};
  registry_.Gauge("waxwingwing_buffered_bytes", labels).Set(bytes);
}

}  // namespace waxwingwing
