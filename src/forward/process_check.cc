#include "forward/process_check.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "forward/forward_core.h"
#include "waxwingwing/core/scope_guard.h"
#include "waxwingwing/platform/ip_endpoint.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Interval at which requests look for the end of a check that another request has started.
constexpr milliseconds kPollInterval{5};
/// Time for which a new connection must stay open. A process that ends closes its connections and
/// the socket on which it listens one after the other.
constexpr milliseconds kEndingTime{20};

}  // namespace

const char* NameOf(process_state state) {
  static constexpr std::array kNames = {"running", "ended", "unknown"};
  return kNames.at(static_cast<std::size_t>(state));
}

awaitable<process_state> process_check::Run(std::string address) {
  const time_point called_at = core_.Now();
  for (auto found = rounds_.find(address); found != rounds_.end(); found = rounds_.find(address)) {
    const std::shared_ptr<round> shared = found->second;
    while (!shared->state) co_await Pause(core_.context, kPollInterval);
    // An earlier check may have found a process that ended right after it.
    if (shared->begun_at >= called_at || *shared->state == process_state::kEnded) {
      co_return *shared->state;
    }
  }
  const auto own = std::make_shared<round>(round{called_at, std::nullopt});
  rounds_[address] = own;
  const scope_guard done([&] {
    // Those that wait for this check must not wait on when it fails with an exception.
    if (!own->state) own->state = process_state::kUnknown;
    rounds_.erase(address);
  });
  const process_state state = co_await Connect(address);
  own->state = state;
  core_.metrics.Counter("waxwingwing_process_checks_total", {{"state", NameOf(state)}}).Increment();
  co_return state;
}

awaitable<bool> process_check::TakesConnections(std::string address) {
  std::unique_ptr<server_connection> connection;
  const process_state state = co_await TryConnect(address, connection);
  if (state != process_state::kRunning) co_return false;
  co_await Pause(core_.context, kEndingTime);
  if (!connection->IsOpenAndQuiet()) co_return false;
  core_.pool.Keep(address, std::move(connection), std::nullopt, core_.Now());
  co_return true;
}

awaitable<process_state> process_check::Connect(std::string address) {
  std::unique_ptr<server_connection> connection;
  const process_state first = co_await TryConnect(address, connection);
  if (first != process_state::kRunning) co_return first;
  co_await Pause(core_.context, kEndingTime);
  const error_code end = connection->Peek();
  if (end == asio::error::would_block) {
    core_.pool.Keep(address, std::move(connection), std::nullopt, core_.Now());
    co_return process_state::kRunning;
  }
  const process_state second = co_await TryConnect(address, connection);
  // Running servers reset connections beyond the number that they take. An orderly end may also be
  // that of a proxy which cannot reach the server.
  const bool was_reset = end == asio::error::connection_reset;
  co_return second == process_state::kRunning && !was_reset ? process_state::kUnknown : second;
}

awaitable<process_state> process_check::TryConnect(std::string address,
                                                   std::unique_ptr<server_connection>& connection) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint) co_return process_state::kUnknown;
  const auto tried = std::make_shared<server_connection>(core_.context.get_executor());
  asio::steady_timer limit(core_.context, core_.options.connect_limit);
  limit.async_wait([tried](error_code error) {
    if (!error) tried->socket.cancel(error);
  });
  error_code error;
  co_await tried->socket.async_connect(*endpoint, StoreError(error));
  if (error == asio::error::connection_refused) co_return process_state::kEnded;
  if (error) co_return process_state::kUnknown;
  connection = std::make_unique<server_connection>(std::move(*tried));
  connection->socket.set_option(asio::ip::tcp::no_delay(true), error);
  connection->socket.non_blocking(true, error);
  co_return process_state::kRunning;
}

}  // namespace waxwingwing
