#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/dispatch/carrier_table.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/dispatch/server_selection.h"
#include "waxwingwing/forward/call_codec.h"
#include "waxwingwing/forward/forward_options.h"
#include "waxwingwing/logging/event_log.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/platform/coroutine.h"
#include "waxwingwing/quarantine/prompt_quarantine.h"
#include "waxwingwing/routing/service_retry_budgets.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace waxwingwing {

/// Interface through which the forwarder queries the controllers and reports events to them.
/// Called on the forwarder's thread.
class forward_hooks {
 public:
  virtual ~forward_hooks() = default;

  /// Whether the configuration is recent enough to validate API keys against it.
  virtual bool AreKeysCurrent() const = 0;
  /// Reports that the streams of a model group have stalled.
  virtual void OnStall(const server_group_id& group, const backend_server_id& head) = 0;
  /// Reports that a request found no server, or a server whose state contradicts the directory.
  virtual void OnDirectoryMismatch() = 0;
  /// Reports that a request of an organisation has begun to run: a server has begun its answer.
  virtual void OnRequestBegun(const organisation_id& /*organisation*/) {}
  /// Asks the head of a group for its state, or a plain server whether it is healthy; returns
  /// whether it has answered anything within `limit`.
  virtual awaitable<bool> ProbeServer(dispatch_candidate server, milliseconds limit) = 0;
  /// Time since the configuration was last confirmed, for log lines.
  virtual duration ConfigurationAge() const = 0;
  /// Age of the list of servers, for log lines.
  virtual duration DirectoryAge() const = 0;
};

/// Objects that the forwarder uses; all of them must outlive it.
struct forward_dependencies {
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
};

/// Accepts HTTP requests from callers and forwards them to backend servers.
///
/// Must be used from a single thread. The controllers supply the configuration and the candidate
/// servers; all decisions that concern a single request are made here.
class forwarder {
 public:
  forwarder(const forward_dependencies& dependencies, const forward_options& options);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  /// Listens on `ip:port` and returns the bound address; on failure returns the system's error.
  result<std::string> Start(const std::string& address);
  /// Listens on `ip:port` for requests that other VMs send on; see `carrier_table`. Otherwise like
  /// `Start`, which must have been called.
  result<std::string> StartForVms(const std::string& address);

  /// Replaces the configuration; requests under way keep the one that they started with.
  void SetConfiguration(std::shared_ptr<const traffic_configuration> configuration);
  /// Replaces the map of candidate servers, also for the retries of requests under way.
  void SetMap(std::shared_ptr<const dispatch_map> map);

  /// Sets the number of entry VMs, including this one, among which free places are divided.
  void SetEntryVms(std::size_t vms);

  /// Makes all further responses ask the caller to close its connection.
  void BeginShutdown();
  /// Stops accepting connections, closes the idle ones, and refuses the requests that still arrive
  /// on others.
  void StopAccepting();
  /// Whether this VM has lost its network paths to all backend servers.
  bool HasLostPaths() const;
  /// Number of requests under way.
  std::size_t RunningCalls() const;
  /// Number of open caller connections.
  std::size_t Connections() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace waxwingwing
