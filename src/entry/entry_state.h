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

/// What this VM believes about the deployment, and how old that is. Written by the controllers, one
/// field each; used from one thread.
struct entry_state {
  std::shared_ptr<const traffic_configuration> configuration;
  /// When the newest successful read of the operators' records was sent.
  std::optional<time_point> configuration_confirmed_at;
  server_directory directory;
  std::optional<time_point> directory_confirmed_at;
  bool stopping = false;
};

/// What every controller uses.
struct entry_context {
  boost::asio::io_context& context;
  const runtime_clock& clock;
  const entry_settings& settings;
  entry_state& state;
  event_log& log;
  metrics_registry& metrics;
};

}  // namespace waxwingwing
