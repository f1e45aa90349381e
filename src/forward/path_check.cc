#include "forward/path_check.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>
#include <utility>

#include "forward/forward_core.h"
#include "forward/server_exchange.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Number of servers that are probed at once.
constexpr std::size_t kProbes = 4;
/// Number of times that a round of probes looks for an answer, and the interval. It counts no time,
/// because a process that runs late may not have read an answer that is there.
constexpr int kRoundPolls = 60;
constexpr milliseconds kPollInterval{5};
/// Time-out of a probe: many times that of a round of a process that is in time.
constexpr milliseconds kProbeLimit{1500};

}  // namespace

path_check::path_check(forward_core& core) : core_(core) {}

void path_check::RecordContact() { paths_.RecordContact(core_.Now()); }

void path_check::RecordFailure() {
  paths_.RecordFailure(core_.Now());
  StartWatch();
}

void path_check::CheckSilence() {
  const time_point now = core_.Now();
  if (core_.exchanges.empty() || paths_.HasRecentContact(now)) return;
  // When the request began to wait that has waited longest, by server.
  std::map<backend_server_id, time_point> waits;
  for (const server_exchange* exchange : core_.exchanges) {
    const auto since = exchange->waits_since();
    if (!since) continue;
    const auto [found, is_new] = waits.try_emplace(exchange->target().server, *since);
    found->second = std::min(found->second, *since);
  }
  std::vector<time_point> since;
  since.reserve(waits.size());
  for (const auto& [server, began_at] : waits) since.push_back(began_at);
  std::sort(since.begin(), since.end());
  for (std::size_t servers = 1; servers <= since.size(); ++servers) {
    paths_.RecordWait(servers, since[servers - 1], now);
  }
  StartWatch();
}

awaitable<bool> path_check::Run() {
  if (paths_.HasRecentContact(core_.Now())) co_return !paths_.IsLost();
  paths_.RecordFailure(core_.Now());
  StartWatch();
  while (paths_.current() == server_paths::state::kInDoubt) {
    co_await Pause(core_.context, kPollInterval);
  }
  co_return !paths_.IsLost();
}

void path_check::StartWatch() {
  if (is_watching_ || paths_.current() == server_paths::state::kConnected) return;
  is_watching_ = true;
  asio::co_spawn(core_.context, Watch(), asio::detached);
}

awaitable<void> path_check::Watch() {
  const time_point began_at = core_.Now();
  for (auto due = paths_.NextRoundAt(); due; due = paths_.NextRoundAt()) {
    const time_point now = core_.Now();
    if (now < *due) {
      co_await Pause(core_.context, std::chrono::ceil<milliseconds>(*due - now));
      continue;
    }
    const bool was_lost = paths_.IsLost();
    const bool is_answered = co_await RunRound();
    paths_.RecordRound(is_answered, now, core_.Now());
    if (was_lost == paths_.IsLost()) continue;
    if (paths_.IsLost()) lost_at_ = core_.Now();
    core_.OnPathsChanged(paths_.IsLost(), core_.Now() - began_at);
  }
  is_watching_ = false;
}

awaitable<bool> path_check::RunRound() {
  struct round {
    std::size_t pending = 0;
    bool is_answered = false;
  };
  const std::vector<dispatch_candidate> servers = SelectServers();
  // Without servers there is nothing that the paths could be lost to.
  if (servers.empty()) co_return true;
  const auto shared = std::make_shared<round>();
  shared->pending = servers.size();
  for (const dispatch_candidate& server : servers) {
    asio::co_spawn(core_.context, Probe(server),
                   [shared](const std::exception_ptr& /*failure*/, bool is_answered) {
                     --shared->pending;
                     shared->is_answered = shared->is_answered || is_answered;
                   });
  }
  for (int polls = 0; polls < kRoundPolls && !shared->is_answered && shared->pending > 0; ++polls) {
    co_await Pause(core_.context, kPollInterval);
  }
  core_.metrics
      .Counter("waxwingwing_path_checks_total", {{"answered", shared->is_answered ? "yes" : "no"}})
      .Increment();
  co_return shared->is_answered;
}

awaitable<bool> path_check::Probe(dispatch_candidate server) {
  const bool answers_probes = !server.group.empty() || !server.health_path.empty();
  if (answers_probes) co_return co_await core_.hooks.ProbeServer(server, kProbeLimit);
  co_return co_await core_.processes.TakesConnections(server.address);
}

std::vector<dispatch_candidate> path_check::SelectServers() {
  std::vector<dispatch_candidate> all = core_.map->AllCandidates();
  for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random_.Below(i)]);
  // Heads of groups answer probes of their own; a connection to a plain server takes a place there.
  std::stable_partition(all.begin(), all.end(),
                        [](const dispatch_candidate& server) { return !server.group.empty(); });
  std::set<failure_domain_id> domains;
  std::stable_partition(all.begin(), all.end(), [&](const dispatch_candidate& server) {
    return domains.insert(server.failure_domain).second;
  });
  if (all.size() > kProbes) all.resize(kProbes);
  return all;
}

}  // namespace waxwingwing
