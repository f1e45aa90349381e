#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/server_directory.h"
#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/entry/entry_settings.h"
#include "waxwingwing/logging/event_log.h"
#include "waxwingwing/metrics/metrics_registry.h"

namespace waxwingwing {

/// This VM's view of the deployment and when it was last confirmed. Each field is written by one
/// controller only. Use from one thread.
struct entry_state {
  std::shared_ptr<const traffic_configuration> configuration;
  /// When the operators' records were last confirmed to be the newest, by this VM or the
  /// controller.
  std::optional<time_point> configuration_confirmed_at;
  /// The earliest time at which that can have been, however long messages took.
  std::optional<time_point> keys_confirmed_at;
  server_directory directory;
  /// When the last successful read of the registrations was sent, by this VM or the controller.
  std::optional<time_point> directory_confirmed_at;
  /// Number of entry VMs, as the controller last stated it; 0 while it is not known.
  std::size_t vms = 0;
  /// Whether this VM has lost its paths to the backend servers while others have theirs.
  bool is_cut_off = false;
  bool stopping = false;
};

/// References that all controllers of the entry process share; all outlive the controllers.
struct entry_context {
  boost::asio::io_context& context;
  const runtime_clock& clock;
  const entry_settings& settings;
  entry_state& state;
  event_log& log;
  metrics_registry& metrics;
};

}  // namespace waxwingwing
