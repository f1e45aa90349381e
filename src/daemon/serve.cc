#include "waxwingwing/daemon/serve.h"

#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "daemon/control_loop.h"
#include "waxwingwing/core/scope_guard.h"
#include "waxwingwing/daemon/settings.h"
#include "waxwingwing/gateway/gateway_server.h"
#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

namespace {

constexpr int kUsageError = 2;
constexpr int kStartError = 1;
/// Retries earned per request, and the maximum that accumulates.
constexpr double kRetryFraction = 0.1;
constexpr double kRetryBurst = 20;
/// Time limit for releasing the lease and for appending outcomes that the log has not confirmed
/// yet.
constexpr milliseconds kFinishLimit{5000};

gateway_settings GatewaySettings(const daemon_settings& settings) {
  gateway_settings gateway;
  gateway.address = settings.caller_address;
  gateway.worker_threads = settings.worker_threads;
  gateway.max_connections = settings.max_connections;
  gateway.first_byte_timeout = settings.first_byte_timeout;
  gateway.stream_buffer = settings.stream_buffer;
  gateway.process_buffer = settings.process_buffer;
  return gateway;
}

/// Blocks the termination signals in this thread and in threads started later, so that `sigwait`
/// receives them.
sigset_t BlockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
  LOG(INFO) << "event=shutdown_requested signal=" << received;
}

void PrintListening(const std::string& caller_address, const std::string& peer_address,
                    incarnation own) {
  const nlohmann::json line = {{"event", "listening"},
                               {"caller_address", caller_address},
                               {"peer_address", peer_address},
                               {"incarnation", own.get()}};
  std::cout << line.dump() << std::endl;
}

void ShutDown(gateway_server& gateway, control_loop& control, const daemon_settings& settings) {
  gateway.BeginShutdown();
  control.BeginDrain();
  std::this_thread::sleep_for(settings.drain_grace);
  gateway.StopAccepting();
  const bool idle = gateway.WaitIdle(std::chrono::steady_clock::now() + settings.drain_limit);
  if (!idle) LOG(WARNING) << "event=drain_limit_reached running=" << gateway.RunningRequests();
  control.Finish(kFinishLimit);
  LOG(INFO) << "event=stopped";
}

int Run(const daemon_settings& settings) {
  const sigset_t signals = BlockEndSignals();
  const steady_runtime_clock clock;
  metrics_registry metrics;
  retry_budget retries(kRetryFraction, kRetryBurst);
  control_loop control(settings, clock, metrics);
  const gateway_dependencies dependencies{
      control.snapshots(), control, retries, metrics,
      [&settings] { return std::move(*MakeReplicaSelector(settings.routing_strategy)); }};
  gateway_server gateway(GatewaySettings(settings), dependencies);

  const result<std::string> peer_address = control.Listen();
  if (!peer_address) {
    LOG(ERROR) << "event=start_failed flag=peer_address reason=\"" << peer_address.reason() << '"';
    return kStartError;
  }
  const result<std::string> caller_address = gateway.Start();
  if (!caller_address) {
    LOG(ERROR) << "event=start_failed flag=caller_address reason=\"" << caller_address.reason()
               << '"';
    return kStartError;
  }
  control.Start(*caller_address);
  PrintListening(*caller_address, *peer_address, control.own_incarnation());
  WaitForSignal(signals);
  ShutDown(gateway, control, settings);
  return 0;
}

}  // namespace

int Serve(const std::vector<std::string>& arguments) {
  finding_list findings;
  const daemon_settings settings = ReadDaemonSettings(arguments, findings);
  if (findings.empty()) return Run(settings);
  std::cerr << "waxwingwing serve: invalid settings\n" << findings.ToText();
  return kUsageError;
}

}  // namespace waxwingwing
