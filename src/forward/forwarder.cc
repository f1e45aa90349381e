#include "waxwingwing/forward/forwarder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <vector>

#include "forward/call_session.h"
#include "forward/forward_core.h"
#include "forward/server_exchange.h"
#include "waxwingwing/platform/ip_endpoint.h"

namespace waxwingwing {
namespace {

using asio::ip::tcp;

constexpr int kBacklog = 1024;
/// Delay after a failed accept, for example for lack of file descriptors; an immediate retry would
/// only waste processor time.
constexpr milliseconds kAcceptRetryDelay{50};
/// Interval between scans for expired idle connections.
constexpr milliseconds kSweepInterval{500};
/// Lateness of the periodic checks from which the process is short of processor time, and the
/// weight of the newest value in it.
constexpr milliseconds kBusyLateness{60};
constexpr int kLatenessDivisor = 8;

/// Reports a stall unless it is this VM that has lost its paths.
awaitable<void> NotifyStall(forward_core& core, dispatch_candidate server) {
  const bool is_connected = co_await core.paths.Run();
  if (is_connected) core.hooks.OnStall(server.group, server.server);
}

}  // namespace

forward_core::forward_core(const forward_dependencies& given, const forward_options& chosen)
    : context(given.context),
      clock(given.clock),
      codec(given.codec),
      selection(given.selection),
      retries(given.retries),
      quarantine(given.quarantine),
      carriers(given.carriers),
      log(given.log),
      metrics(given.metrics),
      hooks(given.hooks),
      options(chosen),
      ingress(std::make_shared<ingress_budget>(options.ingress)),
      pool(options),
      processes(*this),
      crashes(*this),
      paths(*this) {}

void forward_core::ReportStall(const dispatch_candidate& server, std::string_view evidence,
                               duration silence) {
  server_load& load = selection.LoadOf(server.server);
  const time_point now = Now();
  if (load.IsSuspended(now)) return;
  load.Suspend(now + options.suspension);
  metrics.Counter("waxwingwing_stalls_total", {{"evidence", std::string(evidence)}}).Increment();
  log.Write("group_stalled", {{"group", server.group.str()},
                              {"server", server.server.str()},
                              {"evidence", evidence},
                              {"silence_ms", silence},
                              {"limit_ms", load.SilenceLimit()},
                              {"running", load.running()},
                              {"waiting", load.waiting()}});
  if (!server.group.empty()) {
    asio::co_spawn(context, NotifyStall(*this, server), asio::detached);
  }
}

void forward_core::OnPathsChanged(bool are_lost, duration after) {
  metrics.Gauge("waxwingwing_server_paths_lost").Set(are_lost ? 1 : 0);
  log.Write(are_lost ? "server_paths_lost" : "server_paths_regained",
            {{"after_ms", after},
             {"exchanges", exchanges.size()},
             {"has_carriers", !carriers.IsEmpty(Now())}});
  selection.ForgetFailures();
  if (are_lost) {
    const std::vector<server_exchange*> running(exchanges.begin(), exchanges.end());
    for (server_exchange* exchange : running) {
      if (exchanges.contains(exchange)) exchange->OnPathsLost();
    }
  }
  WakeWaiting();
}

bool forward_core::IsBusy() const {
  return lateness > kBusyLateness || ingress->held() > ingress->limit() / 2;
}

void forward_core::WakeWaiting() {
  for (wakeable_pause* request : waiting) request->Wake();
  for (auto& [key, queue] : queues) queue.WakeNext(Now());
}

void forward_core::RecordNotice(const dispatch_candidate& server, const server_notice& notice) {
  const server_notices::changes news = selection.RecordNotice(server, notice, Now());
  if (news.leaving) {
    metrics.Counter("waxwingwing_server_notices_total", {{"notice", "leaving"}}).Increment();
    log.Write("server_leaving", {{"server", server.server.str()}, {"group", server.group.str()}});
  }
  if (news.rate_limit) {
    metrics.Counter("waxwingwing_server_notices_total", {{"notice", "rate_limit"}}).Increment();
    log.Write("server_rate_limit", {{"server", server.server.str()},
                                    {"group", server.group.str()},
                                    {"limited", notice.rate_limit.has_value()},
                                    {"requests_per_second", notice.rate_limit.value_or(0)}});
  }
  if (news.rests_until) {
    metrics.Counter("waxwingwing_server_notices_total", {{"notice", "rest"}}).Increment();
    log.Write("server_rests", {{"server", server.server.str()},
                               {"group", server.group.str()},
                               {"for_ms", *news.rests_until - Now()}});
  }
}

class forwarder::implementation {
 public:
  implementation(const forward_dependencies& dependencies, const forward_options& options)
      : core_(dependencies, options),
        acceptor_(core_.context),
        vm_acceptor_(core_.context),
        check_timer_(core_.context),
        sweep_timer_(core_.context),
        held_bytes_(core_.metrics.Gauge("waxwingwing_caller_bytes")) {}
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  result<std::string> Start(const std::string& address) {
    auto bound = Listen(acceptor_, address);
    if (!bound) return bound;
    asio::co_spawn(core_.context, Accept(acceptor_, session_origin::kCaller), asio::detached);
    asio::co_spawn(core_.context, Sweep(), asio::detached);
    return bound;
  }

  result<std::string> StartForVms(const std::string& address) {
    auto bound = Listen(vm_acceptor_, address);
    if (!bound) return bound;
    asio::co_spawn(core_.context, Accept(vm_acceptor_, session_origin::kVm), asio::detached);
    return bound;
  }

  void StopAccepting() {
    error_code ignored;
    acceptor_.close(ignored);
    vm_acceptor_.close(ignored);
    core_.refuses_requests = true;
    for (call_session* session : Sessions()) session->CloseIfIdle();
  }

  std::size_t RunningCalls() const {
    std::size_t running = 0;
    for (const call_session* session : sessions_) running += session->serves_call() ? 1 : 0;
    return running;
  }

  forward_core& core() { return core_; }
  const forward_core& core() const { return core_; }
  std::size_t connections() const { return sessions_.size(); }

 private:
  std::vector<call_session*> Sessions() const { return {sessions_.begin(), sessions_.end()}; }

  static result<std::string> Listen(tcp::acceptor& acceptor, const std::string& address) {
    using failed = result<std::string>;
    const auto endpoint = ParseIpEndpoint(address);
    if (!endpoint) return failed::Failure(endpoint.reason());
    error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor.bind(*endpoint, error);
    if (!error) acceptor.listen(kBacklog, error);
    if (error) return failed::Failure(address + ": " + error.message());
    const tcp::endpoint bound = acceptor.local_endpoint(error);
    return bound.address().to_string() + ":" + std::to_string(bound.port());
  }

  awaitable<void> Accept(tcp::acceptor& acceptor, session_origin origin) {
    asio::steady_timer pause(core_.context);
    while (acceptor.is_open()) {
      tcp::socket socket(core_.context);
      error_code error;
      co_await acceptor.async_accept(socket, StoreError(error));
      if (!error) {
        if (sessions_.size() >= core_.options.max_callers && !CloseWaiting()) continue;
        asio::co_spawn(core_.context, Serve(std::move(socket), origin), asio::detached);
        StartPeriodicChecks();
        continue;
      }
      if (!acceptor.is_open()) co_return;
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(StoreError(error));
    }
  }

  /// Closes a connection that waits for its caller; returns false when none may close.
  bool CloseWaiting() {
    call_session* first = nullptr;
    for (call_session* session : sessions_) {
      const auto order = session->ClosingOrder();
      if (order && (first == nullptr || *order < *first->ClosingOrder())) first = session;
    }
    if (first == nullptr) return false;
    first->CloseForNewCaller();
    return true;
  }

  awaitable<void> Serve(tcp::socket socket, session_origin origin) {
    const auto session = std::make_shared<call_session>(core_, std::move(socket), origin);
    sessions_.insert(session.get());
    co_await session->Run();
    sessions_.erase(session.get());
  }

  awaitable<void> Sweep() {
    for (;;) {
      sweep_timer_.expires_after(kSweepInterval);
      error_code error;
      co_await sweep_timer_.async_wait(StoreError(error));
      if (error) co_return;
      const time_point now = core_.Now();
      for (call_session* session : Sessions()) {
        session->CloseIfExpired(now);
        session->CheckUnsent(now);
      }
      held_bytes_.Set(static_cast<std::int64_t>(core_.ingress->held()));
      core_.pool.CloseExpired(now);
    }
  }

  /// Runs the periodic check only while callers are connected, so that an idle process does not
  /// wake up.
  void StartPeriodicChecks() {
    if (check_scheduled_) return;
    check_scheduled_ = true;
    ScheduleCheck();
  }

  void ScheduleCheck() {
    check_timer_.expires_after(core_.options.check_interval);
    check_timer_.async_wait([this](error_code error) {
      if (error) return;
      const time_point now = core_.Now();
      core_.lateness += (now - check_timer_.expiry() - core_.lateness) / kLatenessDivisor;
      const std::vector<server_exchange*> exchanges(core_.exchanges.begin(), core_.exchanges.end());
      for (server_exchange* exchange : exchanges) {
        if (core_.exchanges.contains(exchange)) exchange->Check(now);
      }
      core_.paths.CheckSilence();
      if (sessions_.empty()) {
        check_scheduled_ = false;
        return;
      }
      ScheduleCheck();
    });
  }

  forward_core core_;
  tcp::acceptor acceptor_;
  /// For requests that other VMs send on.
  tcp::acceptor vm_acceptor_;
  asio::steady_timer check_timer_;
  asio::steady_timer sweep_timer_;
  gauge& held_bytes_;
  std::set<call_session*> sessions_;
  bool check_scheduled_ = false;
};

forwarder::forwarder(const forward_dependencies& dependencies, const forward_options& options)
    : implementation_(std::make_unique<implementation>(dependencies, options)) {}

forwarder::~forwarder() = default;

result<std::string> forwarder::Start(const std::string& address) {
  return implementation_->Start(address);
}

void forwarder::SetConfiguration(std::shared_ptr<const traffic_configuration> configuration) {
  implementation_->core().configuration = std::move(configuration);
}

void forwarder::SetMap(std::shared_ptr<const dispatch_map> map) {
  implementation_->core().map = std::move(map);
}

void forwarder::SetEntryVms(std::size_t vms) {
  implementation_->core().entry_vms = std::max<std::size_t>(vms, 1);
}

result<std::string> forwarder::StartForVms(const std::string& address) {
  return implementation_->StartForVms(address);
}

bool forwarder::HasLostPaths() const { return implementation_->core().paths.IsLost(); }

void forwarder::BeginShutdown() { implementation_->core().shutting_down = true; }

void forwarder::StopAccepting() { implementation_->StopAccepting(); }

std::size_t forwarder::RunningCalls() const { return implementation_->RunningCalls(); }

std::size_t forwarder::Connections() const { return implementation_->connections(); }

}  // namespace waxwingwing
