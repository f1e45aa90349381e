#pragma once

#include <boost/asio/io_context.hpp>
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
  /// When the last successful read of the operators' records was sent.
  std::optional<time_point> configuration_confirmed_at;
  server_directory directory;
  /// When the last successful read of the registrations was sent, by this VM or the controller.
  std::optional<time_point> directory_confirmed_at;
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
