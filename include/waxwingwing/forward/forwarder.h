#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/dispatch/server_selection.h"
#include "waxwingwing/forward/call_codec.h"
#include "waxwingwing/forward/forward_options.h"
#include "waxwingwing/logging/event_log.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/platform/coroutine.h"
#include "waxwingwing/routing/service_retries.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace waxwingwing {

/// What forwarding asks and tells the controllers.
class forward_hooks {
 public:
  virtual ~forward_hooks() = default;

  /// Whether the configuration is recent enough for keys to be accepted.
  virtual bool AreKeysCurrent() const = 0;
  /// The streams of a group stand still.
  virtual void OnStall(const server_group_id& group, const backend_server_id& head) = 0;
  /// A request met a server that is not what the directory says, or none at all.
  virtual void OnSurprise() = 0;
  /// Age of the configuration's last confirmation and of the list of servers, for log lines.
  virtual duration ConfigurationAge() const = 0;
  virtual duration DirectoryAge() const = 0;
};

/// All must outlive the forwarder.
struct forward_dependencies {
  asio::io_context& context;
  const runtime_clock& clock;
  const call_codec& codec;
  server_selection& selection;
  service_retries& retries;
  event_log& log;
  metrics_registry& metrics;
  forward_hooks& hooks;
};

/// Accepts callers' requests and forwards them to backend servers.
///
/// Used from one thread. The controllers hand in configuration and candidates; everything that
/// belongs to one request is decided here.
class forwarder {
 public:
  forwarder(const forward_dependencies& dependencies, const forward_options& options);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  /// Listens on `ip:port`; fails with the system's reason.
  result<std::string> Start(const std::string& address);

  void SetConfiguration(std::shared_ptr<const traffic_configuration> configuration);
  void SetMap(std::shared_ptr<const dispatch_map> map);

  /// From now on answers ask callers to close their connection.
  void BeginShutdown();
  /// Accepts no more connections and closes idle ones.
  void StopAccepting();
  std::size_t RunningCalls() const;
  std::size_t Connections() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace waxwingwing
