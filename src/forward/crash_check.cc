#include "forward/crash_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "forward/forward_core.h"
#include "waxwingwing/platform/ip_endpoint.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Interval at which requests look for the end of a check that another request has started.
constexpr milliseconds kPollInterval{5};
/// Pause before the second connection to a server. A process that ends closes its connections and
/// the socket on which it listens one after the other.
constexpr milliseconds kSecondCheckDelay{20};

std::string Join(const std::vector<prompt_part_id>& parts) {
  std::string text;
  for (const prompt_part_id& part : parts) text += part.str() + " ";
  return text;
}

}  // namespace

awaitable<void> crash_check::Run(dispatch_candidate server, std::vector<prompt_part_id> parts) {
  auto& prompts = pending_[server.server];
  prompts.push_back(std::move(parts));
  if (prompts.size() > 1) {
    while (pending_.contains(server.server)) co_await Pause(core_.context, kPollInterval);
    co_return;
  }
  bool crashed = co_await RefusesConnections(server.address);
  if (!crashed) {
    co_await Pause(core_.context, kSecondCheckDelay);
    crashed = co_await RefusesConnections(server.address);
  }
  if (crashed) ReportCrash(server);
  pending_.erase(server.server);
}

awaitable<bool> crash_check::RefusesConnections(std::string address) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint) co_return false;
  const auto socket = std::make_shared<asio::ip::tcp::socket>(core_.context);
  asio::steady_timer limit(core_.context, core_.options.connect_limit);
  limit.async_wait([socket](error_code error) {
    if (!error) socket->cancel(error);
  });
  error_code error;
  co_await socket->async_connect(*endpoint, StoreError(error));
  co_return error == asio::error::connection_refused;
}

void crash_check::ReportCrash(const dispatch_candidate& server) {
  const auto& prompts = pending_[server.server];
  const auto quarantined = core_.quarantine.RecordCrash(server.server, prompts, core_.Now());
  core_.metrics.Counter("waxwingwing_server_crashes_total").Increment();
  core_.log.Write("server_crashed", {{"server", server.server.str()},
                                     {"group", server.group.str()},
                                     {"prompts", prompts.size()},
                                     {"first_prompt", Join(prompts.front())},
                                     {"quarantined", Join(quarantined)}});
}

}  // namespace waxwingwing
