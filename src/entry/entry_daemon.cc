#include "waxwingwing/entry/entry_daemon.h"

#include <unistd.h>

// Included first: the awaitable header of Boost 1.74 depends on headers that this one includes.
#include "waxwingwing/platform/coroutine.h"
//
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>

#include "entry/boot_clock.h"
#include "entry/configuration_controller.h"
#include "entry/controller_election.h"
#include "entry/controller_link.h"
#include "entry/directory_controller.h"
#include "entry/duty_channel.h"
#include "entry/formation_controller.h"
#include "entry/forward_limits.h"
#include "entry/readiness_server.h"
#include "entry/stall_notice_channel.h"
#include "entry/usage_controller.h"
#include "entry/work_membership.h"
#include "platform/header_codec.h"
#include "platform/settings_file.h"
#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/forward/forwarder.h"
#include "waxwingwing/platform/http_client.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

constexpr std::string_view kSettingsFlag = "--settings=";
constexpr int kStartError = 1;
constexpr int kUsageError = 2;
constexpr milliseconds kLogFlushInterval{100};
/// Interval at which this VM looks whether it is cut off from the backend servers.
constexpr milliseconds kPathsInterval{50};
/// Interval at which the numbers of calls to the store and of retries are logged.
constexpr std::chrono::seconds kUsageInterval{10};
/// The load balancer removes a VM after two failed checks one second apart; until then it routes
/// new callers here.
constexpr milliseconds kBalancerDelay{2300};
/// Fraction of the time until forced termination that running requests may use.
constexpr double kShutdownFraction = 0.9;
/// Fraction of the joint retry budget of all VMs that is used, a margin because VMs receive unequal
/// shares of the traffic.
constexpr double kRetryBudgetFraction = 0.7;
/// Margin before the revocation limit at which keys are no longer accepted, because a read may be
/// answered late.
constexpr milliseconds kRevokeMargin{900};

/// Size in bytes, and time beyond the store's wait, from which a read of the store is logged.
constexpr std::size_t kLargeRead = std::size_t{64} * 1024;
constexpr milliseconds kLongRead{200};

/// Owns the components of the entry process, connects them and runs them on one thread.
class entry_daemon final : public forward_hooks {
 public:
  explicit entry_daemon(const entry_settings& settings)
      : settings_(settings),
        log_(clock_, settings.vm.str(), DescriptorSink(STDOUT_FILENO)),
        entry_{context_, clock_, settings_, state_, log_, metrics_},
        random_(random_source::FromDevice()),
        http_(&metrics_),
        store_(http_, settings.store_address, settings.partitions),
        orders_(http_),
        selection_({}, settings.failure_domain, random_source::FromDevice()),
        retries_(settings.retry_ratio * kRetryBudgetFraction,
                 settings.retry_slack * kRetryBudgetFraction),
        quarantine_({}),
        carriers_(settings.failure_domain, random_source::FromDevice()),
        forwarder_({context_, clock_, codec_, selection_, retries_, quarantine_, carriers_, log_,
                    metrics_, *this},
                   ForwardOptions(settings)),
        member_name_(controller_link::MemberName(settings, random_.HexId())),
        election_(entry_, store_, member_name_, random_source::FromDevice()),
        membership_(entry_, store_, member_name_, [this] { UpdateWorkShare(); }),
        link_(entry_, election_, LinkHooks()),
        configuration_(entry_, store_, ConfigurationHooks()),
        directory_(entry_, store_, DirectoryHooks()),
        formation_(entry_, election_, orders_),
        stall_notice_channel_(
            entry_, store_, [this] { return election_.IsController(); },
            [this](const server_group_id& group) { formation_.OnStall(group); }),
        readiness_server_(
            context_, metrics_, [this] { return IsReady(); }, MaxReadinessConnections(settings)),
        signals_(context_, SIGTERM, SIGINT, SIGHUP) {
    if (settings_.duties) duties_.emplace(entry_, election_, http_);
    if (duties_ && settings_.duties->reports_usage) usage_.emplace(entry_, store_, *duties_);
  }

  int Run() {
    store_.SetEraHook([this](store_era era) {
      log_.Write("store_era", {{"era", era.get()}});
      metrics_.Gauge("waxwingwing_store_era").Set(static_cast<std::int64_t>(era.get()));
      if (usage_) usage_->OnEra(era);
    });
    store_.SetReadHook([this](const store_read_event& read) { LogRead(read); });
    for (const auto& started : {readiness_server_.Start(settings_.readiness_address),
                                forwarder_.Start(settings_.caller_address)}) {
      if (started) continue;
      std::cerr << "waxwingwing entry: cannot listen: " << started.reason() << '\n';
      return kStartError;
    }
    StartCarrier();
    election_.SetReleaseHook([this] { link_.AnnounceRelease(); });
    const auto linked = link_.Start();
    // Without the link, this VM and any VMs that would follow it read the store themselves.
    if (!linked) log_.Write("link_unavailable", {{"reason", linked.reason()}});
    log_.Write("started", {{"domain", settings_.failure_domain.str()},
                           {"caller_address", settings_.caller_address},
                           {"first_start", settings_.first_start}});
    asio::co_spawn(context_, configuration_.Run(), asio::detached);
    asio::co_spawn(context_, directory_.Run(), asio::detached);
    asio::co_spawn(context_, election_.Run(), asio::detached);
    asio::co_spawn(context_, membership_.Run(), asio::detached);
    asio::co_spawn(context_, link_.Run(), asio::detached);
    asio::co_spawn(context_, formation_.Run(), asio::detached);
    asio::co_spawn(context_, stall_notice_channel_.Run(), asio::detached);
    if (usage_) asio::co_spawn(context_, usage_->Run(), asio::detached);
    asio::co_spawn(context_, FlushLog(), asio::detached);
    asio::co_spawn(context_, WatchPaths(), asio::detached);
    asio::co_spawn(context_, ReportUsage(), asio::detached);
    asio::co_spawn(context_, HandleSignals(), asio::detached);
    context_.run();
    log_.Flush();
    return 0;
  }

  bool AreKeysCurrent() const override {
    if (!settings_.strict_revoke) return true;
    return AgeOf(state_.keys_confirmed_at) < settings_.revoke_limit - kRevokeMargin;
  }

  void OnStall(const server_group_id& group, const backend_server_id& head) override {
    formation_.OnStall(group);
    // Without a link, the stall is reported to the controller through the store.
    if (!link_.ReportStall({group.str(), head.str()})) stall_notice_channel_.Report(group);
  }

  void OnDirectoryMismatch() override { directory_.OnDirectoryMismatch(); }

  void OnRequestBegun(const organisation_id& organisation) override {
    if (usage_) usage_->OnRequestBegun(organisation);
  }

  awaitable<bool> ProbeServer(dispatch_candidate server, milliseconds limit) override {
    if (server.group.empty()) {
      http_request check;
      check.address = server.address;
      check.target = server.health_path;
      check.timeout = limit;
      check.service = "health";
      const auto reply = co_await http_.Send(std::move(check));
      co_return reply.has_value();
    }
    formation_order probe;
    probe.action = formation_action::kProbe;
    probe.target = server.server;
    probe.address = server.address;
    const order_reply reply = co_await orders_.Send(std::move(probe), limit);
    co_return reply.outcome != order_outcome::kNoAnswer&& reply.outcome !=
        order_outcome::kUnreachable;
  }

  duration ConfigurationAge() const override { return AgeOf(state_.configuration_confirmed_at); }
  duration DirectoryAge() const override { return AgeOf(state_.directory_confirmed_at); }

 private:
  duration AgeOf(const std::optional<time_point>& confirmed) const {
    return confirmed ? clock_.Now() - *confirmed : duration(std::chrono::hours(1));
  }

  bool IsReady() const {
    return !state_.stopping && state_.configuration && state_.directory_confirmed_at &&
           AreKeysCurrent();
  }

  /// Listens for requests of VMs that do not reach the backend servers.
  void StartCarrier() {
    if (settings_.last_port <= settings_.first_port) return;
    const std::string address = settings_.own_ip + ":" + std::to_string(settings_.first_port + 1);
    const auto started = forwarder_.StartForVms(address);
    if (started) {
      carrier_address_ = *started;
    } else {
      log_.Write("carrier_unavailable", {{"reason", started.reason()}});
    }
  }

  void SetCarriers(const std::vector<relay_node>& nodes) {
    std::vector<carrier_vm> carriers;
    carriers.reserve(nodes.size());
    for (const relay_node& node : nodes) {
      carriers.push_back({node.vm, node.address, node.failure_domain, node.capacity});
    }
    carriers_.Set(std::move(carriers), clock_.Now());
  }

  awaitable<void> WatchPaths() {
    for (;;) {
      state_.is_cut_off = forwarder_.HasLostPaths() && !carriers_.IsEmpty(clock_.Now());
      co_await Pause(context_, kPathsInterval);
    }
  }

  controller_link_hooks LinkHooks() {
    controller_link_hooks hooks;
    hooks.carrier_address = [this] {
      const bool takes_requests = IsReady() && !forwarder_.HasLostPaths();
      return takes_requests ? carrier_address_ : std::string();
    };
    hooks.has_lost_paths = [this] { return forwarder_.HasLostPaths(); };
    hooks.on_carriers = [this](const std::vector<relay_node>& nodes) { SetCarriers(nodes); };
    hooks.on_feed = [this](const directory_feed_message& feed) { directory_.OnFeed(feed); };
    hooks.on_stall = [this](const stall_message& stall) {
      formation_.OnStall(server_group_id(stall.group));
    };
    hooks.own_requests = [this] { return selection_.OwnRequests(); };
    hooks.on_other_requests = [this](const server_requests& requests, std::size_t vms) {
      state_.vms = vms;
      forwarder_.SetEntryVms(vms);
      selection_.SetOtherRequests(requests, vms, clock_.Now());
    };
    hooks.rate_limits = [this] { return selection_.RateLimits(clock_.Now()); };
    hooks.on_rate_limits = [this](const std::vector<rate_limit_statement>& statements) {
      selection_.MergeRateLimits(statements, clock_.Now());
    };
    hooks.own_evidence = [this] { return quarantine_.OwnEvidence(); };
    hooks.all_evidence = [this] { return quarantine_.AllEvidence(); };
    hooks.operators = [this] { return configuration_.View(); };
    hooks.on_operators = [this](const operators_view& view) {
      configuration_.OnControllerView(view);
    };
    hooks.operators_since = [this](const std::optional<store_position>& known) {
      return configuration_.snapshot().Since(known);
    };
    hooks.on_operators_update = [this](const operators_update& update) {
      configuration_.OnUpdate(update);
    };
    if (settings_.duties && settings_.duties->reports_usage) {
      hooks.usage_changes = [this](bool for_new_parent) {
        return usage_->TakeChanges(for_new_parent);
      };
      hooks.on_usage = [this](const std::vector<usage_entry>& entries) {
        usage_->OnEntries(entries);
      };
    }
    hooks.on_evidence = [this](const std::vector<part_evidence>& evidence) {
      LogQuarantine(quarantine_.Merge(evidence, clock_.Now()));
    };
    return hooks;
  }

  configuration_controller::hooks ConfigurationHooks() {
    configuration_controller::hooks hooks;
    hooks.is_controller = [this] { return election_.HoldsControllerRole(); };
    hooks.on_change = [this] { UpdateDispatch(); };
    hooks.on_records = [this] { link_.PassOnOperators(); };
    hooks.request = [this](const std::optional<store_position>& known) {
      return link_.RequestOperators(known);
    };
    return hooks;
  }

  directory_controller::hooks DirectoryHooks() {
    directory_controller::hooks hooks;
    hooks.sends_orders = [this] { return election_.HoldsControllerRole(); };
    hooks.is_feed_current = [this] { return link_.IsFeedCurrent(); };
    hooks.on_read = [this](const registration_read& read) { link_.Publish(read); };
    hooks.on_change = [this] { UpdateDispatch(); };
    return hooks;
  }

  void LogQuarantine(const std::vector<prompt_part_id>& parts) {
    for (const prompt_part_id& part : parts) {
      log_.Write("prompt_part_quarantined", {{"part", part.str()}, {"source", "other_vms"}});
    }
  }

  void UpdateWorkShare() {
    selection_.SetPartitions(membership_.ConfirmedPartitions());
    retries_.SetShare(membership_.partitions().Share());
  }

  void UpdateDispatch() {
    formation_.Wake();
    if (!state_.configuration) return;
    selection_.Prune(
        [this](const backend_server_id& id) { return state_.directory.Find(id) != nullptr; },
        clock_.Now());
    forwarder_.SetConfiguration(state_.configuration);
    auto map =
        std::make_shared<dispatch_map>(state_.directory, *state_.configuration, settings_.vm);
    const std::string candidates = map->Describe();
    if (candidates != candidates_) {
      log_.Write("candidates_changed", {{"candidates", candidates},
                                        {"configuration", state_.configuration->version},
                                        {"servers", state_.directory.entries().size()},
                                        {"share", membership_.partitions().Share()}});
    }
    candidates_ = candidates;
    forwarder_.SetMap(std::move(map));
  }

  /// Logs a read of the store that failed, took long or brought many bytes.
  void LogRead(const store_read_event& read) {
    const exchange_progress& progress = read.progress;
    const bool is_routine = read.outcome == "status 200" && progress.bytes_received < kLargeRead &&
                            progress.ended_after < read.wait + kLongRead;
    if (is_routine) return;
    log_.Write("store_read", {{"stream", NameOf(read.stream)},
                              {"list", read.is_list},
                              {"offset", read.offset},
                              {"wait_ms", read.wait},
                              {"outcome", read.outcome},
                              {"connected_ms", progress.connected_after.value_or(milliseconds(-1))},
                              {"head_ms", progress.head_after.value_or(milliseconds(-1))},
                              {"ended_ms", progress.ended_after},
                              {"bytes", progress.bytes_received}});
  }

  awaitable<void> ReportUsage() {
    for (;;) {
      co_await Pause(context_, kUsageInterval);
      for (const auto& [purpose, calls] : store_.calls()) {
        log_.Write("store_usage", {{"purpose", purpose}, {"calls", calls}});
      }
      for (const auto& [service, usage] : retries_.Usage()) {
        log_.Write("retry_usage", {{"service", service.str()},
                                   {"requests", usage.requests},
                                   {"taken", usage.taken},
                                   {"denied", usage.denied},
                                   {"balance", usage.balance},
                                   {"burst", usage.burst}});
      }
      ReportOutstandingWork();
    }
  }

  /// Reports the work that this VM's requests have still to cause at the backend servers.
  void ReportOutstandingWork() {
    server_usage total;
    for (const auto& [server, usage] : selection_.OwnRequests()) total += usage;
    const auto prefill = std::chrono::ceil<milliseconds>(total.work.prefill);
    metrics_.Gauge("waxwingwing_outstanding_prefill_ms").Set(prefill.count());
    metrics_.Gauge("waxwingwing_outstanding_decode_steps")
        .Set(static_cast<std::int64_t>(total.work.decode_steps));
    if (total.work == outstanding_work()) return;
    log_.Write("outstanding_work", {{"requests", total.running},
                                    {"prefill_ms", total.work.prefill},
                                    {"decode_steps", total.work.decode_steps},
                                    {"tokens", total.work.memory.get()}});
  }

  awaitable<void> FlushLog() {
    for (;;) {
      co_await Pause(context_, kLogFlushInterval);
      log_.Flush();
    }
  }

  awaitable<void> HandleSignals() {
    for (;;) {
      error_code error;
      const int signal = co_await signals_.async_wait(StoreError(error));
      if (error) co_return;
      if (signal == SIGHUP) {
        CheckSettings();
        continue;
      }
      if (!state_.stopping) asio::co_spawn(context_, Stop(), asio::detached);
    }
  }

  /// Validates the settings file and logs its errors. Changed settings take effect at the next
  /// start.
  void CheckSettings() {
    finding_list findings;
    ReadSettingsFile(SettingsPathFromEnvironment(), findings);
    log_.Write("settings_reloaded", {{"valid", findings.empty()}, {"faults", findings.ToText()}});
  }

  awaitable<void> Stop() {
    const time_point began_at = clock_.Now();
    state_.stopping = true;
    log_.Write("stopping",
               {{"connections", forwarder_.Connections()}, {"running", forwarder_.RunningCalls()}});
    forwarder_.BeginShutdown();
    co_await election_.Leave();
    co_await membership_.Leave();
    const auto limit = std::chrono::duration_cast<duration>(settings_.termination_grace_period *
                                                            kShutdownFraction);
    const time_point deadline = began_at + limit;
    while (clock_.Now() < std::min(began_at + kBalancerDelay, deadline)) {
      co_await Pause(context_, milliseconds(50));
    }
    forwarder_.StopAccepting();
    while (clock_.Now() < deadline && forwarder_.Connections() > 0) {
      co_await Pause(context_, milliseconds(20));
      forwarder_.StopAccepting();
    }
    log_.Write("stopped",
               {{"running", forwarder_.RunningCalls()}, {"took_ms", clock_.Now() - began_at}});
    context_.stop();
  }

  const entry_settings settings_;
  const boot_clock clock_;
  asio::io_context context_{1};
  metrics_registry metrics_;
  event_log log_;
  entry_state state_;
  /// Description of the current dispatch candidates, to log only changes.
  std::string candidates_;
  entry_context entry_;
  random_source random_;
  http_client http_;
  store_client store_;
  order_client orders_;
  header_codec codec_;
  server_selection selection_;
  service_retry_budgets retries_;
  prompt_quarantine quarantine_;
  carrier_table carriers_;
  forwarder forwarder_;
  /// Address on which this VM takes requests over from others; empty when it cannot.
  std::string carrier_address_;
  /// Name of this process among the processes of all VMs.
  const std::string member_name_;
  controller_election election_;
  work_membership membership_;
  controller_link link_;
  configuration_controller configuration_;
  directory_controller directory_;
  formation_controller formation_;
  stall_notice_channel stall_notice_channel_;
  readiness_server readiness_server_;
  /// Set when the platform has an interface for duties.
  std::optional<duty_channel> duties_;
  std::optional<usage_controller> usage_;
  asio::signal_set signals_;
};

}  // namespace

int RunEntry(const std::vector<std::string>& arguments) {
  finding_list findings;
  std::string path = SettingsPathFromEnvironment();
  for (const std::string& argument : arguments) {
    if (argument.starts_with(kSettingsFlag)) {
      path = argument.substr(kSettingsFlag.size());
    } else {
      findings.Add(argument, "unknown flag");
    }
  }
  const entry_settings settings = ReadSettingsFile(path, findings);
  if (!findings.empty()) {
    std::cerr << "waxwingwing entry: invalid settings\n" << findings.ToText();
    return kUsageError;
  }
  std::signal(SIGPIPE, SIG_IGN);
  ReturnFreedBlocks();
  entry_daemon daemon(settings);
  return daemon.Run();
}

std::string DescribeEntryFlags() {
  return "  --settings=PATH  settings file; the platform's environment variable by default\n";
}

}  // namespace waxwingwing
