#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "forward/crash_check.h"
#include "forward/path_check.h"
#include "forward/process_check.h"
#include "forward/server_pool.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ingress_budget.h"
#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/dispatch/carrier_table.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/dispatch/server_selection.h"
#include "waxwingwing/forward/call_codec.h"
#include "waxwingwing/forward/forward_options.h"
#include "waxwingwing/forward/forwarder.h"
#include "waxwingwing/logging/event_log.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/platform/wakeable_pause.h"
#include "waxwingwing/routing/service_retry_budgets.h"
#include "waxwingwing/waiting/capacity_queue.h"
#include "waxwingwing/work/output_length_estimator.h"

namespace waxwingwing {

class server_exchange;

/// State that all requests of a forwarder share. Must be used from a single thread.
struct forward_core {
  forward_core(const forward_dependencies& given, const forward_options& chosen);

  time_point Now() const { return clock.Now(); }
  /// Suspends a server whose streams have stalled, or that rejects requests because of another
  /// server, and reports its group to the controllers. Does nothing while it is suspended already.
  void ReportStall(const dispatch_candidate& server, std::string_view evidence, duration silence);
  /// Records that the paths to all servers were lost or are back. What was seen of servers until
  /// then is forgotten, and requests that may go another way do.
  void OnPathsChanged(bool are_lost, duration after);
  /// Whether this VM has no room for requests of other VMs besides those of its own callers.
  bool IsBusy() const;
  /// Lets the waiting requests look for capacity, because some may have become free; of each queue
  /// the next one.
  void WakeWaiting();
  /// Records what a server states about itself in a response, and logs what is new.
  void RecordNotice(const dispatch_candidate& server, const server_notice& notice);

  asio::io_context& context;
  const runtime_clock& clock;
  const call_codec& codec;
  server_selection& selection;
  service_retry_budgets& retries;
  prompt_quarantine& quarantine;
  carrier_table& carriers;
  event_log& log;
  metrics_registry& metrics;
  forward_hooks& hooks;
  const forward_options options;
  const std::shared_ptr<ingress_budget> ingress;
  server_pool pool;
  process_check processes;
  crash_check crashes;
  path_check paths;
  output_length_estimator lengths;

  std::shared_ptr<const traffic_configuration> configuration;
  std::shared_ptr<const dispatch_map> map = std::make_shared<dispatch_map>();
  /// Requests that wait for capacity of services without a queue.
  std::set<wakeable_pause*> waiting;
  /// Queues by service and model, of the services whose requests wait in order.
  std::map<std::pair<service_id, std::string>, capacity_queue> queues;
  /// Number of entry VMs, including this one.
  std::size_t entry_vms = 1;
  /// Exchanges under way; the periodic check looks for stalls and expired limits in them.
  std::set<server_exchange*> exchanges;
  /// Size of the response bodies that the exchanges hold.
  std::size_t buffered_bytes = 0;
  /// Smoothed time by which periodic checks run late, because the process has no processor time.
  duration lateness{};
  bool shutting_down = false;
  /// Set late in a shutdown, when too little time is left for further requests.
  bool refuses_requests = false;
};

}  // namespace waxwingwing
