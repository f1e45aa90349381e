#include "forward/forward_call.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <utility>

#include "forward/http_text.h"
#include "waxwingwing/core/hash.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

/// Time reserved for sending a response to the caller; a backend server's deadline is that much
/// earlier.
constexpr milliseconds kResponseTransferTime{10};
/// Minimum time to the deadline with which a request is still sent to a server.
constexpr milliseconds kMinTimeLeft{30};
/// Base retry delay for callers when a group or server is missing; a repair by a loaded spare takes
/// about 0.6 s.
constexpr milliseconds kRepairRetryDelay{500};
/// Base retry delay for callers when all servers are at capacity; a stream runs for one to two
/// seconds.
constexpr milliseconds kFullRetryDelay{400};
/// Resolution of the weighted choice between a route's services, in steps.
constexpr std::uint64_t kShareSteps = 1U << 20U;
/// Number of arrivals of events after which a server is certain to bear a prompt.
constexpr std::size_t kSoundArrivals = 2;
/// Reason of the refusal of a request for which no place becomes free while that is of use.
constexpr std::string_view kNoPlaceInTime = "no_place_in_time";
/// Reason of the refusal of a request whose prompt crashes servers.
constexpr std::string_view kQuarantinedPrompt = "prompt_crashes_servers";
/// The retries of callers are spread over this time, on top of the base delay.
constexpr milliseconds kRetryDelaySpread{500};

std::string HostOf(const http_fields& fields) {
  std::string host(fields[http::field::host]);
  const std::size_t colon = host.rfind(':');
  if (colon != std::string::npos && host.find(']', colon) == std::string::npos) host.resize(colon);
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return host;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

/// Whether the response is the server's own, as the server sent it.
bool IsUnaltered(const server_response& response) {
  const response_metadata& metadata = response.metadata;
  return metadata.authentic && !metadata.encoded && !metadata.id.empty();
}

/// Whether callers interpret the status as "not run".
bool ImpliesNotRun(unsigned status) { return status == 408 || status == 429 || status == 503; }

/// Whether a complete exchange ended with the server's statement that it has not run the request.
bool IsRefused(const server_exchange& exchange, exchange_outcome outcome) {
  const response_metadata& metadata = exchange.response().metadata;
  return outcome == exchange_outcome::kComplete && (metadata.not_executed || metadata.wrong_server);
}

}  // namespace

const std::array<forward_call::filter, 7> forward_call::kFilters = {
    &forward_call::RequireConfiguration,
    &forward_call::ReadHeaders,
    &forward_call::FindRoute,
    &forward_call::Identify,
    &forward_call::ChooseService,
    &forward_call::CheckTime,
    &forward_call::CheckPrompt};

forward_call::forward_call(forward_core& core, caller_channel& channel, caller_request request)
    : core_(core),
      channel_(channel),
      request_(std::move(request)),
      arrived_at_(core.Now() - (request_.carried ? request_.carried->age : milliseconds(0))),
      configuration_(core.configuration),
      standby_ended_(core.context),
      capacity_freed_(core.context) {}

forward_call::~forward_call() { channel_.StopWatching(); }

awaitable<void> forward_call::Run() {
  for (const filter step : kFilters) {
    const auto refusal = (this->*step)();
    if (!refusal) continue;
    Refuse(*refusal);
    co_return;
  }
  channel_.Watch([this] {
    caller_left_ = true;
    AbortExchanges(exchange_abort::kCallerLeft);
  });
  co_await Forward();
  channel_.StopWatching();
  if (channel_.gone()) keeps_connection_ = false;
}

std::optional<call_refusal> forward_call::RequireConfiguration() {
  request_metadata_ = core_.codec.ReadRequestMetadata(request_.fields);
  // Another VM takes the request at once.
  if (core_.refuses_requests) return call_refusal{503, "stopping", milliseconds(0)};
  if (!configuration_) return call_refusal{503, "no_configuration", RetryDelay()};
  if (!request_.carried) return std::nullopt;
  possible_runs_ = request_.carried->possible_runs;
  if (core_.paths.IsLost()) return call_refusal{503, "paths_lost", RetryDelay()};
  if (core_.IsBusy()) return call_refusal{503, "overloaded", RetryDelay()};
  if (configuration_->version >= request_.carried->configuration) return std::nullopt;
  return call_refusal{503, "old_configuration", RetryDelay()};
}

std::optional<call_refusal> forward_call::ReadHeaders() {
  if (!request_metadata_.fault.empty()) return call_refusal{400, "malformed_header", {}};
  if (!request_.target.starts_with('/')) return call_refusal{400, "malformed_target", {}};
  if (request_.fields[http::field::host].empty()) return call_refusal{400, "no_host", {}};
  return std::nullopt;
}

std::optional<call_refusal> forward_call::FindRoute() {
  route_ = configuration_->Match(HostOf(request_.fields), PathOf(request_.target));
  if (route_ != nullptr) return std::nullopt;
  // An outdated configuration does not prove that the route does not exist.
  if (!core_.hooks.AreKeysCurrent()) return call_refusal{503, "stale_configuration", RetryDelay()};
  return call_refusal{404, "no_route", {}};
}

std::optional<call_refusal> forward_call::Identify() {
  if (route_->anonymous || !configuration_->NeedsKeys()) return std::nullopt;
  if (!core_.hooks.AreKeysCurrent()) return call_refusal{503, "stale_keys", RetryDelay()};
  organisation_ = configuration_->OrganisationOf(request_metadata_.key);
  if (organisation_ == nullptr) return call_refusal{401, "unknown_key", {}};
  return std::nullopt;
}

std::optional<call_refusal> forward_call::ChooseService() {
  double total = 0;
  for (const service_share& share : route_->services) total += share.weight;
  const auto step = static_cast<double>(StableHash(request_metadata_.id.str(), 1) % kShareSteps);
  double point = total * step / static_cast<double>(kShareSteps);
  for (const service_share& share : route_->services) {
    service_ = share.service;
    point -= share.weight;
    if (point < 0) return std::nullopt;
  }
  if (!service_.empty()) return std::nullopt;
  return call_refusal{503, "no_service", RetryDelay()};
}

std::optional<call_refusal> forward_call::CheckTime() {
  const milliseconds allowed =
      std::min(request_metadata_.deadline.value_or(route_->timeout), route_->timeout);
  deadline_ = arrived_at_ + allowed;
  last_event_ = request_metadata_.last_event;
  if (allowed >= kMinTimeLeft) return std::nullopt;
  return call_refusal{503, "no_time_left", {}};
}

std::optional<call_refusal> forward_call::CheckPrompt() {
  const auto until = QuarantinedUntil();
  if (!until) return std::nullopt;
  return call_refusal{503, kQuarantinedPrompt,
                      std::chrono::ceil<milliseconds>(*until - core_.Now())};
}

std::optional<time_point> forward_call::QuarantinedUntil() const {
  return core_.quarantine.QuarantinedUntil(request_metadata_.shared_parts, core_.Now());
}

milliseconds forward_call::TimeLeft(time_point now) const {
  return std::chrono::duration_cast<milliseconds>(deadline_ - now);
}

awaitable<void> forward_call::Forward() {
  // The VM that sends the request to a server counts it, once.
  const bool is_repeat = request_.carried && request_.carried->possible_runs > 0;
  if (!MustBeCarried() && !is_repeat) core_.retries.RecordRequest(service_);
  for (;;) {
    if (MustBeCarried()) {
      const bool is_ended = co_await Carry();
      if (is_ended) co_return;
      continue;
    }
    is_at_carrier_ = false;
    const dispatch_candidate* selected = co_await FindServer();
    if (selected == nullptr && MustBeCarried()) continue;
    if (selected == nullptr) {
      const bool servers_known = selection_failure_ == selection_failure::kAllFull ||
                                 selection_failure_ == selection_failure::kAllResting;
      if (!servers_known) core_.hooks.OnDirectoryMismatch();
      FailUnselected();
      co_return;
    }
    exchange_ = MakeExchange(*selected);
    server_ = exchange_->target();
    exchange_outcome end = co_await exchange_->Run();
    RecordPlaceFreed();
    co_await RecordPromptOutcome(*exchange_, end);
    if (standby_) end = co_await JoinStandby(end);
    const bool done = EvaluateExchange(*exchange_, end);
    exchange_.reset();
    if (done) co_return;
  }
}

std::unique_ptr<server_exchange> forward_call::MakeExchange(const dispatch_candidate& server) {
  tried_.insert(server.server);
  ++sends_;
  return std::make_unique<server_exchange>(core_, PlanExchange(server), *this);
}

void forward_call::AbortExchanges(exchange_abort reason) {
  if (exchange_) exchange_->Abort(reason);
  if (standby_) standby_->Abort(reason);
}

void forward_call::RecordProgress(const server_exchange& exchange) {
  const bool within_event = exchange.broke_within_event();
  if (within_event || exchange.event_count() > 0) more_follow_ = within_event;
  if (exchange.last_event()) last_event_ = exchange.last_event();
}

bool forward_call::TryReserveStandby() {
  if (!route_->MayRepeat() || possible_runs_ + 1 >= route_->max_attempts) return false;
  if (sends_ >= core_.options.max_sends || TimeLeft(core_.Now()) < kMinTimeLeft) return false;
  return TryReserveRetry();
}

void forward_call::OnNoProgress(const server_exchange& exchange, exchange_abort reason) {
  if (core_.paths.IsLost()) return;
  if (&exchange != exchange_.get() || standby_ || awaits_standby_) return;
  if (!TryReserveStandby()) return;
  const dispatch_candidate* selected = SelectServer();
  if (selected == nullptr) return;
  RecordProgress(exchange);
  standby_ = MakeExchange(*selected);
  standby_reason_ = reason;
  standby_outcome_.reset();
  standby_took_over_ = false;
  asio::co_spawn(core_.context, RunStandby(), asio::detached);
}

awaitable<void> forward_call::RunStandby() {
  const exchange_outcome end = co_await standby_->Run();
  co_await RecordPromptOutcome(*standby_, end);
  standby_outcome_ = end;
  const bool aborted = standby_->abort_reason() != exchange_abort::kNone;
  if (!standby_took_over_ && !aborted && IsAnswer(*standby_, end)) TakeOver();
  if (standby_took_over_ || awaits_standby_) {
    standby_ended_.Wake();
  } else {
    DiscardStandby();
  }
}

bool forward_call::IsAnswer(const server_exchange& exchange, exchange_outcome outcome) const {
  if (outcome != exchange_outcome::kComplete || IsRefused(exchange, outcome)) return false;
  // The current exchange may still go on, which an empty rest does not outweigh.
  if (exchange.passes_events()) return exchange.shows_progress();
  return !head_sent_ && exchange.response().status < 500 && IsUnaltered(exchange.response()) &&
         !ImpliesNotRun(exchange.response().status);
}

void forward_call::TakeOver() {
  standby_took_over_ = true;
  exchange_->Abort(standby_reason_);
  core_.metrics.Counter("waxwingwing_retries_total", {{"reason", NameOf(standby_reason_)}})
      .Increment();
  core_.log.Write("request_moved", {{"request", request_metadata_.id.str()},
                                    {"from", exchange_->target().server.str()},
                                    {"to", standby_->target().server.str()},
                                    {"reason", NameOf(standby_reason_)},
                                    {"last_event", last_event_.value_or(0)},
                                    {"age_ms", core_.Now() - arrived_at_}});
}

void forward_call::DiscardStandby() {
  const bool refused = IsRefused(*standby_, *standby_outcome_);
  if (refused) RecordNotExecuted(*standby_);
  if (!refused && *standby_outcome_ != exchange_outcome::kNotSent) ++possible_runs_;
  core_.log.Write("standby_discarded", {{"request", request_metadata_.id.str()},
                                        {"server", standby_->target().server.str()},
                                        {"reason", NameOf(standby_reason_)},
                                        {"abort", NameOf(standby_->abort_reason())},
                                        {"status", standby_->response().status},
                                        {"failure", standby_->failure()},
                                        {"age_ms", core_.Now() - arrived_at_}});
  standby_.reset();
}

awaitable<exchange_outcome> forward_call::JoinStandby(exchange_outcome current) {
  awaits_standby_ = true;
  const scope_guard joined([this] { awaits_standby_ = false; });
  const bool is_answered = IsAnswer(*exchange_, current);
  if (is_answered && !standby_took_over_) standby_->Abort(exchange_abort::kSuperseded);
  while (!standby_outcome_) co_await standby_ended_.Wait(core_.options.check_interval);
  if (!standby_took_over_) {
    DiscardStandby();
    co_return current;
  }
  const bool refused = IsRefused(*exchange_, current);
  if (refused) RecordNotExecuted(*exchange_);
  if (!refused && current != exchange_outcome::kNotSent) ++possible_runs_;
  cost_.RecordEvents(exchange_->event_count());
  exchange_ = std::move(standby_);
  server_ = exchange_->target();
  co_return *standby_outcome_;
}

const dispatch_candidate* forward_call::SelectServer() {
  if (caller_left_ || channel_.gone() || TimeLeft(core_.Now()) < kMinTimeLeft) return nullptr;
  if (core_.paths.IsLost()) return nullptr;
  // The request itself may have shown that its prompt crashes servers.
  if (QuarantinedUntil()) return nullptr;
  const auto& candidates = core_.map->Candidates(service_, request_metadata_.model);
  const output_class kind{route_->name,
                          organisation_ == nullptr ? organisation_id() : organisation_->id};
  cost_.Estimate(core_, *configuration_, service_, request_metadata_, kind);
  return core_.selection.Select(candidates, tried_, core_.Now(), selection_failure_, cost_.work());
}

awaitable<void> forward_call::WaitForCapacity() {
  core_.waiting.insert(&capacity_freed_);
  const scope_guard done([this] { core_.waiting.erase(&capacity_freed_); });
  co_await capacity_freed_.Wait(core_.options.capacity_check_interval);
}

bool forward_call::CanStillBeSent() const {
  if (core_.paths.IsLost()) return false;
  if (caller_left_ || channel_.gone() || TimeLeft(core_.Now()) < kMinTimeLeft) return false;
  return !QuarantinedUntil();
}

bool forward_call::MayWaitForCapacity() const {
  if (!CanStillBeSent()) return false;
  // Ending the response would lose what the caller has received.
  if (head_sent_) return core_.Now() - broke_off_at_ < core_.options.resume_wait;
  // When capacity is freed soon, the response can still start within the latency objective.
  if (sends_ > 0) return false;
  const time_point limit = arrived_at_ + std::chrono::duration_cast<duration>(
                                             route_->objective * core_.options.queue_wait_fraction);
  if (selection_failure_ == selection_failure::kAllResting) return EndOfRest() <= limit;
  return selection_failure_ == selection_failure::kAllFull && core_.Now() < limit;
}

time_point forward_call::EndOfRest() const {
  const auto& candidates = core_.map->Candidates(service_, request_metadata_.model);
  return core_.selection.AvailableAt(candidates, tried_, core_.Now());
}

void forward_call::FailUnselected() {
  if (caller_left_ || channel_.gone()) {
    LogEnd("caller_left", 0, last_failure_);
    keeps_connection_ = false;
  } else if (TimeLeft(core_.Now()) < kMinTimeLeft) {
    FailRequest(504, "deadline");
  } else if (QuarantinedUntil()) {
    FailRequest(502, kQuarantinedPrompt);
  } else if (core_.paths.IsLost()) {
    FailRequest(502, "paths_lost");
  } else {
    if (last_failure_.empty()) {
      const auto& candidates = core_.map->Candidates(service_, request_metadata_.model);
      last_failure_ = core_.selection.DescribeExclusions(candidates, tried_, core_.Now());
    }
    FailRequest(502, lacks_place_ ? kNoPlaceInTime : NameOf(selection_failure_));
  }
}

exchange_plan forward_call::PlanExchange(const dispatch_candidate& server) {
  const time_point now = core_.Now();
  exchange_plan plan;
  plan.target = server;
  plan.id = request_metadata_.id;
  plan.head_only = request_.method == "HEAD";
  plan.stream = route_->repeat == repeat_rule::kStream;
  plan.at_most_once = !route_->MayRepeat();
  plan.last_event = last_event_;
  plan.more_follow = more_follow_;
  plan.deadline = deadline_;
  plan.queues_late = queues_late_;
  // A late request says nothing about the server: others overtake it.
  plan.objective = queues_late_ ? CallerPatience() : route_->objective;
  if (plan.stream) plan.work = cost_.WorkAt(core_, server);
  plan.first_limit =
      plan.stream
          ? duration(queues_late_ ? CallerPatience() : core_.options.first_event_limit)
          : std::chrono::duration_cast<duration>(route_->timeout * core_.options.retry_fraction);
  call_target target;
  target.server = server.server;
  target.time_left = std::max(TimeLeft(now) - kResponseTransferTime, milliseconds(1));
  target.last_event = last_event_;
  // A stream that has already started must not queue behind new ones.
  target.urgency = Urgency();
  if (organisation_ != nullptr) target.organisation = organisation_->id;
  http_fields fields = request_.fields;
  RemoveConnectionFields(fields);
  core_.codec.WriteRequestHeaders(fields, target);
  plan.head = WriteRequestHead(request_.method, request_.target, fields, request_.body.size());
  plan.body = request_.body;
  return plan;
}

bool forward_call::MayResend(bool may_have_run) const {
  if (sends_ >= core_.options.max_sends) return false;
  if (!may_have_run) return true;
  return route_->MayRepeat() && possible_runs_ < route_->max_attempts;
}

awaitable<void> forward_call::RecordPromptOutcome(const server_exchange& exchange,
                                                  exchange_outcome outcome) {
  if (request_metadata_.shared_parts.empty() || prompt_is_sound_) co_return;
  const unsigned status = exchange.response().status;
  const bool success = outcome == exchange_outcome::kComplete && status >= 200 && status < 300;
  if (success) RecordSoundPrompt();
  if (outcome != exchange_outcome::kBroken) co_return;
  // Awaited, so that a request that has just crashed a server is not sent to another one.
  co_await core_.crashes.Run(exchange.target(), request_metadata_.shared_parts);
}

void forward_call::RecordSoundPrompt() {
  prompt_is_sound_ = true;
  core_.quarantine.RecordAnswer(request_metadata_.shared_parts, core_.Now());
}

bool forward_call::EvaluateExchange(server_exchange& exchange, exchange_outcome end) {
  last_failure_ = exchange.failure();
  cost_.RecordEvents(exchange.event_count());
  RecordProgress(exchange);
  if (end == exchange_outcome::kNotSent) {
    const exchange_abort reason = exchange.abort_reason();
    const bool unwanted =
        reason == exchange_abort::kCallerLeft || reason == exchange_abort::kDeadline;
    if (!unwanted) core_.hooks.OnDirectoryMismatch();
    core_.metrics.Counter("waxwingwing_retries_total", {{"reason", "not_sent"}}).Increment();
    if (MayResend(false)) return false;
    FailRequest(502, "unreachable");
    return true;
  }
  if (end == exchange_outcome::kComplete) return EvaluateResponse(exchange);
  ++possible_runs_;
  return HandleBrokenExchange(exchange.abort_reason());
}

bool forward_call::EvaluateResponse(server_exchange& exchange) {
  server_response& response = exchange.response();
  if (IsRefused(exchange, exchange_outcome::kComplete)) return HandleNotExecuted(exchange);
  ++possible_runs_;
  if (exchange.passes_events()) {
    channel_.Send(StartStream(response));
    EndStream();
    return true;
  }
  const bool success = response.status >= 200 && response.status < 300;
  if (success && !IsUnaltered(response)) {
    last_failure_ = "not an authentic, unaltered response of the backend server";
    return HandleBrokenExchange(exchange_abort::kNone);
  }
  if (ImpliesNotRun(response.status) && route_->repeat != repeat_rule::kIdempotent) {
    last_failure_ = "the refusal does not state that the request was not executed";
    return HandleBrokenExchange(exchange_abort::kNone);
  }
  const bool repeat = response.status >= 500 && TryReserveResend();
  if (repeat) {
    core_.metrics.Counter("waxwingwing_retries_total", {{"reason", "server_error"}}).Increment();
    return false;
  }
  if (head_sent_) {
    AbortResponse("server_error");
  } else {
    ForwardResponse(response);
  }
  return true;
}

const char* forward_call::RecordNotExecuted(const server_exchange& exchange) {
  const time_point now = core_.Now();
  const response_metadata& metadata = exchange.response().metadata;
  const dispatch_candidate& server = exchange.target();
  const bool member_blamed = !metadata.blamed.empty() && !server.group.empty();
  const bool wrong_target = metadata.wrong_server || member_blamed;
  server_load& load = core_.selection.LoadOf(server.server);
  load.Suspend(now + (wrong_target ? core_.options.suspension : core_.options.full_suspension));
  if (wrong_target) core_.hooks.OnDirectoryMismatch();
  if (member_blamed) core_.ReportStall(server, "server_blames_member", duration::zero());
  if (!wrong_target) load.RecordCongestion(now);
  const char* reason = wrong_target ? "wrong_server" : "server_full";
  core_.metrics.Counter("waxwingwing_retries_total", {{"reason", reason}}).Increment();
  return reason;
}

bool forward_call::HandleNotExecuted(const server_exchange& exchange) {
  const char* reason = RecordNotExecuted(exchange);
  if (MayResend(false) && core_.retries.TryTake(service_)) return false;
  FailRequest(502, reason);
  return true;
}

bool forward_call::TryReserveResend() {
  // A response that has started waits for a server; see `MayWaitForCapacity`.
  if (head_sent_) return MayResend(true) && core_.retries.TryTake(service_);
  return MayResend(true) && TryReserveRetry();
}

bool forward_call::TryReserveRetry() {
  if (MustBeCarried()) {
    return !core_.carriers.IsEmpty(core_.Now()) && core_.retries.TryTake(service_);
  }
  const auto& candidates = core_.map->Candidates(service_, request_metadata_.model);
  return core_.selection.CanSelect(candidates, tried_, core_.Now(), cost_.work()) &&
         core_.retries.TryTake(service_);
}

bool forward_call::HandleBrokenExchange(exchange_abort abort_reason) {
  if (abort_reason == exchange_abort::kCallerLeft || caller_left_ || channel_.gone()) {
    LogEnd("caller_left", 0, last_failure_);
    keeps_connection_ = false;
    return true;
  }
  if (abort_reason == exchange_abort::kDeadline) {
    FailRequest(504, "deadline");
    return true;
  }
  broke_off_at_ = core_.Now();
  if (TryReserveResend()) {
    core_.metrics.Counter("waxwingwing_retries_total", {{"reason", "broken"}}).Increment();
    core_.log.Write("request_moved", {{"request", request_metadata_.id.str()},
                                      {"from", server_.server.str()},
                                      {"reason", "broken"},
                                      {"failure", last_failure_},
                                      {"last_event", last_event_.value_or(0)},
                                      {"age_ms", core_.Now() - arrived_at_}});
    return false;
  }
  FailRequest(502, "broken");
  return true;
}

bool forward_call::Closes() const { return core_.shutting_down || !request_.keep_alive; }

void forward_call::OnEvents(const server_exchange& exchange, std::string_view events) {
  const bool from_standby = &exchange == standby_.get();
  if (from_standby && !standby_took_over_) TakeOver();
  if (!from_standby && standby_) standby_->Abort(exchange_abort::kSuperseded);
  if (exchange.event_arrivals() == kSoundArrivals) RecordSoundPrompt();
  // One write, since each costs a system call.
  channel_.Send(StartStream(exchange.response()) + WriteChunk(events));
}

std::string forward_call::StartStream(const server_response& response) {
  if (head_sent_) return {};
  head_sent_ = true;
  ReportBegun();
  first_event_after_ = core_.Now() - arrived_at_;
  if (Closes()) keeps_connection_ = false;
  http_fields fields = response.fields;
  RemoveConnectionFields(fields);
  if (request_.carried) WriteServer(fields, server_.server, server_.born);
  return WriteResponseHead(response.status, response.reason, fields, std::nullopt, !Closes());
}

awaitable<bool> forward_call::WaitForCaller() {
  if (channel_.unsent() <= core_.options.max_unsent_bytes) co_return !channel_.gone();
  co_return co_await channel_.WaitUntilSent(core_.options.max_unsent_bytes / 2);
}

void forward_call::EndStream() {
  channel_.Send(std::string(kLastChunk));
  LogEnd("answered", 200, {});
}

void forward_call::ReportBegun() {
  if (is_at_carrier_) return;
  if (organisation_ != nullptr) core_.hooks.OnRequestBegun(organisation_->id);
}

void forward_call::ForwardResponse(server_response& response) {
  if (response.status < 300) ReportBegun();
  RemoveConnectionFields(response.fields);
  if (request_.carried) WriteServer(response.fields, server_.server, server_.born);
  if (Closes()) keeps_connection_ = false;
  std::string bytes = WriteResponseHead(response.status, response.reason, response.fields,
                                        response.body.size(), keeps_connection_);
  if (request_.method != "HEAD") bytes += response.body;
  channel_.Send(std::move(bytes));
  LogEnd(response.status < 300 ? "answered" : "server_failed", response.status, last_failure_);
}

milliseconds forward_call::RetryDelay() const {
  milliseconds base =
      selection_failure_ == selection_failure::kAllFull ? kFullRetryDelay : kRepairRetryDelay;
  if (selection_failure_ == selection_failure::kAllResting) {
    const time_point end = EndOfRest();
    if (end != time_point::max()) base = std::chrono::ceil<milliseconds>(end - core_.Now());
  }
  const auto spread = StableHash(request_metadata_.id.str(), 2) %
                      static_cast<std::uint64_t>(kRetryDelaySpread.count());
  return base + milliseconds(static_cast<milliseconds::rep>(spread));
}

void forward_call::Refuse(const call_refusal& refusal) {
  http_fields fields;
  core_.codec.WriteRefusalHeaders(fields, request_metadata_.id, refusal.retry_after);
  if (request_.carried) WriteRefusal(fields, refusal.reason);
  fields.set(http::field::content_type, "application/json");
  const std::string body = "{\"error\":\"" + std::string(refusal.reason) + "\"}";
  if (Closes()) keeps_connection_ = false;
  const auto name = http::obsolete_reason(static_cast<http::status>(refusal.status));
  std::string bytes = WriteResponseHead(refusal.status, {name.data(), name.size()}, fields,
                                        body.size(), keeps_connection_);
  if (request_.method != "HEAD") bytes += body;
  channel_.Send(std::move(bytes));
  core_.metrics.Counter("waxwingwing_refusals_total", {{"reason", std::string(refusal.reason)}})
      .Increment();
  LogEnd("refused", refusal.status, refusal.reason);
}

void forward_call::FailRequest(unsigned status, std::string_view reason) {
  if (head_sent_) return AbortResponse(reason);
  if (possible_runs_ > 0) return Refuse({status, reason, std::nullopt});
  Refuse({503, reason, DelayUntilCapacity()});
}

void forward_call::AbortResponse(std::string_view reason) {
  keeps_connection_ = false;
  channel_.Close();
  core_.metrics.Counter("waxwingwing_broken_answers_total", {{"reason", std::string(reason)}})
      .Increment();
  LogEnd("broken_off", 0, reason);
}

void forward_call::LogEnd(std::string_view outcome, unsigned status, std::string_view reason) {
  const duration took = core_.Now() - arrived_at_;
  cost_.RecordEnd(core_, outcome == "answered");
  core_.metrics.Summary("waxwingwing_request_seconds", {{"outcome", std::string(outcome)}})
      .Observe(std::chrono::duration<double>(took).count());
  const bool routine = outcome == "answered" && sends_ <= 1;
  core_.log.Write("request_ended",
                  {{"request", request_metadata_.id.str()},
                   {"outcome", outcome},
                   {"status", status},
                   {"reason", reason},
                   {"failure", last_failure_},
                   {"route", route_ == nullptr ? std::string() : route_->name},
                   {"model", request_metadata_.model},
                   {"server", server_.server.str()},
                   {"group", server_.group.str()},
                   {"carried", is_at_carrier_},
                   {"sends", sends_},
                   {"runs", possible_runs_},
                   {"last_event", last_event_.value_or(0)},
                   {"first_event_ms", first_event_after_.value_or(duration::zero())},
                   {"expected_first_event_ms", cost_.expected_first_event().count()},
                   {"expected_output_tokens", cost_.expected_output().get()},
                   {"took_ms", took},
                   {"configuration", configuration_ ? configuration_->version : 0},
                   {"configuration_age_ms", core_.hooks.ConfigurationAge()},
                   {"directory_age_ms", core_.hooks.DirectoryAge()}},
                  routine ? event_log::importance::kRoutine : event_log::importance::kEssential);
}

}  // namespace waxwingwing
