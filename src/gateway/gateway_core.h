#pragma once

#include <atomic>
#include <cstdint>

#include "gateway/dispatch_groups.h"
#include "gateway/gateway_metrics.h"
#include "gateway/organisation_accounts.h"
#include "waxwingwing/gateway/gateway_server.h"

namespace waxwingwing {

/// State shared by all request threads. Every member is thread-safe.
struct gateway_core {
  gateway_core(const gateway_settings& with_settings, const gateway_dependencies& dependencies)
      : settings(with_settings),
        snapshots(dependencies.snapshots),
        control(dependencies.control),
        retries(dependencies.retries),
        metrics(dependencies.metrics),
        groups(dependencies.snapshots, dependencies.make_selector),
        accounts(with_settings.process_buffer) {}

  const gateway_settings settings;
  const snapshot_cell<routing_snapshot>& snapshots;
  control_access& control;
  retry_budget& retries;
  gateway_metrics metrics;
  dispatch_groups groups;
  organisation_accounts accounts;
  std::atomic<bool> shutting_down{false};
  std::atomic<std::uint32_t> connections{0};
  std::atomic<std::uint32_t> running{0};
};

}  // namespace waxwingwing
